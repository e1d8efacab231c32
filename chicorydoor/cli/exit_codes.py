"""Exit codes of the command line; ``docs/OPERATING.md`` lists them."""

import enum

from chicorydoor import errors


class ExitCode(enum.IntEnum):
    """Exit codes that all sub-commands share."""

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


_EXIT_CODE_BY_ERROR: dict[type[errors.ChicorydoorError], ExitCode] = {
    errors.SettingsError: ExitCode.NOT_VALID,
    errors.ConfigurationError: ExitCode.NOT_VALID,
    errors.ConflictError: ExitCode.CONFLICT,
    errors.StoreError: ExitCode.UNREACHABLE,
    errors.AdministrationError: ExitCode.REFUSED,
    errors.UnreachableError: ExitCode.UNREACHABLE,
}


def exit_code_for(error: errors.ChicorydoorError) -> ExitCode:
    """Return the exit code for an error, by its closest listed class."""
    for error_type in type(error).__mro__:
        exit_code = _EXIT_CODE_BY_ERROR.get(error_type)
        if exit_code is not None:
            return exit_code
    return ExitCode.FAILED
