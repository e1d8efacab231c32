"""Registries of objects by name, filled by decorators.

They hold policies, and the soak's faults and checks.

Example:
    >>> shapes = Registry("shape")
    >>> @shapes.register("square")
    ... def square(side):
    ...     return side * side
    >>> shapes.get("square")(3)
    9
"""

from collections import abc
import typing

from chicorydoor import errors

ItemT = typing.TypeVar("ItemT")


class Registry(typing.Generic[ItemT]):
    """Objects of one kind by name.

    Args:
        kind (str): Name of the kind in error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._item_by_name: dict[str, ItemT] = {}

    def register(self, name: str) -> abc.Callable[[ItemT], ItemT]:
        """Return a decorator that registers an object under a name.

        It replaces an object that was registered under the same name.
        """

        def add_item(item: ItemT) -> ItemT:
            self._item_by_name[name] = item
            return item

        return add_item

    def get(self, name: str) -> ItemT:
        """Return the object that is registered under a name.

        Raises:
            ConfigurationError: If there is none.
        """
        item = self._item_by_name.get(name)
        if item is None:
            known_names = ", ".join(sorted(self._item_by_name))
            raise errors.ConfigurationError(
                f"no {self._kind} {name!r}; registered are {known_names}"
            )
        return item

    def names(self) -> list[str]:
        """Return all registered names, sorted."""
        return sorted(self._item_by_name)
