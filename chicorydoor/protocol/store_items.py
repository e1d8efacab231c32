"""Items of the platform's key-value store as its readers receive them."""

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


class StoreItemBatch(msgspec.Struct, frozen=True):
    """Items read from the store.

    Args:
        items (list): Items in the order in which the store sent them.
        as_of (int): Store revision up to which they are complete; the next
            read continues after it.
    """

    items: list[StoreItemChange]
    as_of: int
