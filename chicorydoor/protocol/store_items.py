"""Items of the platform's key-value store as its readers receive them.

An epoch of the store begins whenever it comes back from a copy of itself.
Revisions are then given out again, so that those of different epochs cannot be
compared. Epochs count up; 0 stands for one that is not known.
"""

import msgspec


class StoreItemChange(msgspec.Struct, frozen=True, array_like=True):
    """Latest change of a key.

    Args:
        key (str): The key.
        revision (int): Store revision of the change.
        value (bytes): New value; None if the key was deleted.
    """

    key: str
    revision: int
    value: bytes | None


class StoreItemBatch(msgspec.Struct, frozen=True, omit_defaults=True):
    """Items of a listing, of a read of changes, or of a peer's copy.

    Args:
        items (list): The items, in any order.
        as_of (int): Store revision up to which they are complete; the next
            read continues after it. A batch of changes holds only those
            after the revision from which it was read.
        epoch (int): Epoch of the store that all revisions belong to. Defaults
            to 0.
    """

    items: list[StoreItemChange]
    as_of: int
    epoch: int = 0
