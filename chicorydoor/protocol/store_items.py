"""Items of the key-value service as the followers see them."""

import msgspec


class StoredItem(msgspec.Struct, frozen=True, array_like=True):
    """A key's latest change.

    Args:
        revision (int): Store revision of the change.
        value (bytes): None if the key was removed.
    """

    key: str
    revision: int
    value: bytes | None


class ItemBatch(msgspec.Struct, frozen=True):
    """Items, and the store revision up to which nothing is missing.

    Args:
        items (list): In the order in which the store gave them.
        as_of (int): Where a following call goes on.
    """

    items: list[StoredItem]
    as_of: int
