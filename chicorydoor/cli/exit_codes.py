"""Exit codes of the command line; ``docs/OPERATING.md`` lists them."""

import enum

from chicorydoor import errors


class ExitCode(enum.IntEnum):
    """How a command ended."""

    OK = 0
    FAILED = 1
    USAGE = 2
    NOT_VALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    REFUSED = 6
    NOT_COMMITTED = 7
    OUTCOME_UNKNOWN = 8
    NOT_EVERYWHERE = 9


_CODE_BY_ERROR: dict[type[errors.ChicorydoorError], ExitCode] = {
    errors.SettingsError: ExitCode.NOT_VALID,
    errors.ConfigurationError: ExitCode.NOT_VALID,
    errors.ConflictError: ExitCode.CONFLICT,
    errors.StoreError: ExitCode.UNREACHABLE,
    errors.AdministrationError: ExitCode.REFUSED,
    errors.UnreachableError: ExitCode.UNREACHABLE,
}


def of_error(error: errors.ChicorydoorError) -> ExitCode:
    """Exit code of an error."""
    for kind in type(error).__mro__:
        code = _CODE_BY_ERROR.get(kind)
        if code is not None:
            return code
    return ExitCode.FAILED
