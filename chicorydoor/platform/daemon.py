"""Daemon that runs an entry on the platform until SIGTERM or SIGINT."""

import asyncio
import contextlib
import logging
import os
import pathlib
import signal
import sys

import uvloop

from chicorydoor import errors
from chicorydoor import fleet_entry
from chicorydoor.platform import settings_file
from chicorydoor.protocol import fleet_entry_settings
from chicorydoor.transport import logs

_SETTINGS_ERROR_EXIT_CODE = 2
# The last of the standard streams' descriptors.
_STDERR = 2
# How long settings that cannot be read at the start are waited for: a file
# that is just being written is complete well within it.
_SETTINGS_WAIT_S = 2.0
_SETTINGS_RETRY_INTERVAL_S = 0.1
_LOG = logging.getLogger("chicorydoor.platform")


def _settings_path() -> pathlib.Path:
    """Return the path of the settings file from the environment."""
    return pathlib.Path(
        os.environ.get(settings_file.SETTINGS_PATH_VARIABLE, "")
    )


async def _serve() -> None:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    settings = await _wait_for_settings(stop_requested)
    if settings is None:
        return
    entry = fleet_entry.FleetEntry(settings, stop_requested)
    loop.add_signal_handler(signal.SIGHUP, _validate_changed_settings)
    await entry.run()


async def _wait_for_settings(
    stop_requested: asyncio.Event,
) -> fleet_entry_settings.FleetEntrySettings | None:
    """Read the settings and set up logging for them.

    The file may just be written, so that it is missing, empty or incomplete.

    Returns:
        The settings; None if a stop was requested before they were valid.

    Raises:
        SettingsError: If they are not valid in time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + _SETTINGS_WAIT_S
    first_error: errors.SettingsError | None = None
    while not stop_requested.is_set():
        try:
            settings = settings_file.read_settings(_settings_path())
        except errors.SettingsError as error:
            first_error = first_error or error
            if loop.time() >= deadline:
                raise
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_SETTINGS_RETRY_INTERVAL_S):
                    await stop_requested.wait()
            continue
        logs.configure_logging("INFO", settings.instance)
        if first_error is not None:
            _LOG.warning(
                "settings could not be read at first",
                extra={"reason": f"{first_error}"},
            )
        return settings
    return None


def _validate_changed_settings() -> None:
    """Validate the settings file again; a running entry keeps its settings."""
    try:
        settings = settings_file.read_settings(_settings_path())
    except errors.SettingsError as error:
        _LOG.error(
            "changed settings are not valid, the active ones are kept",
            extra={"reason": f"{error}"},
        )
        return
    _LOG.info("settings read again", extra={"instance_id": settings.instance})


def _open_missing_standard_streams() -> None:
    """Open the null device as the standard streams that are closed.

    Otherwise sockets get their descriptors, and libuv ends a process that
    closes one of these.
    """
    while (descriptor := os.open(os.devnull, os.O_RDWR)) <= _STDERR:
        pass
    os.close(descriptor)


def main() -> int:
    """Run the entry and return the exit code."""
    _open_missing_standard_streams()
    try:
        uvloop.run(_serve())
    except errors.SettingsError as error:
        print(f"chicorydoor: {error}", file=sys.stderr)
        return _SETTINGS_ERROR_EXIT_CODE
    finally:
        for handler in logging.getLogger().handlers:
            handler.flush()
    return 0
