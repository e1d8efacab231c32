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
        kind (str): Name of the kind in error messages.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._policy_by_name: dict[str, PolicyT] = {}

    def register(self, name: str) -> abc.Callable[[PolicyT], PolicyT]:
        """Return a decorator that registers a policy under a name."""

        def add_policy(policy: PolicyT) -> PolicyT:
            self._policy_by_name[name] = policy
            return policy

        return add_policy

    def get(self, name: str) -> PolicyT:
        """Return the policy that is registered under a name.

        Raises:
            ConfigurationError: If there is none.
        """
        policy = self._policy_by_name.get(name)
        if policy is None:
            known_names = ", ".join(sorted(self._policy_by_name))
            raise errors.ConfigurationError(
                f"no {self._kind} {name!r}; registered are {known_names}"
            )
        return policy

    def names(self) -> list[str]:
        """Return all registered names, sorted."""
        return sorted(self._policy_by_name)
