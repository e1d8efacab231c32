"""Registries of named policies, filled by decorators.

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

PolicyT = typing.TypeVar("PolicyT")


class Registry(typing.Generic[PolicyT]):
    """Policies of one kind by name.

    Args:
        kind (str): For messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._policy_by_name: dict[str, PolicyT] = {}

    def register(self, name: str) -> abc.Callable[[PolicyT], PolicyT]:
        """Decorator that enters a policy under a name."""

        def enter(policy: PolicyT) -> PolicyT:
            self._policy_by_name[name] = policy
            return policy

        return enter

    def get(self, name: str) -> PolicyT:
        """The policy of a name.

        Raises:
            ConfigurationError: If there is none.
        """
        policy = self._policy_by_name.get(name)
        if policy is None:
            known = ", ".join(sorted(self._policy_by_name))
            raise errors.ConfigurationError(
                f"no {self._kind} {name!r}; known are {known}"
            )
        return policy

    def names(self) -> list[str]:
        """All names, sorted."""
        return sorted(self._policy_by_name)
