"""Exit codes of the command line; ``docs/OPERATING.md`` lists them."""

import enum

from chicorydoor import errors


class ExitCode(enum.IntEnum):
    """Exit codes that all sub-commands share."""

    OK = 0
    # Any other error, an interrupt, or a broken promise in demo and soak.
    FAILED = 1
    # The arguments are wrong; argparse exits with it.
    USAGE = 2
    # Settings or configuration are not valid.
    NOT_VALID = 3
    # The change conflicts with the current configuration.
    CONFLICT = 4
    # No entry responded, or the store failed.
    UNREACHABLE = 5
    # The entry rejected the call.
    REFUSED = 6
    # The store's response was lost and the change did not take effect.
    NOT_COMMITTED = 7
    # The store's response was lost and the change may take effect.
    OUTCOME_UNKNOWN = 8
    # The change was committed but is not yet in force at every entry.
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
