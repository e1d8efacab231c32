"""Daemon that runs an entry on the platform until SIGTERM or SIGINT."""

import asyncio
import logging
import os
import pathlib
import signal
import sys

import uvloop

from chicorydoor import errors
from chicorydoor import fleet_entry
from chicorydoor.platform import settings_file
from chicorydoor.transport import logs

_SETTINGS_ERROR_EXIT_CODE = 2
_LOG = logging.getLogger("chicorydoor.platform")


def _settings_path() -> pathlib.Path:
    """Return the path of the settings file from the environment."""
    return pathlib.Path(
        os.environ.get(settings_file.SETTINGS_PATH_VARIABLE, "")
    )


async def _serve() -> None:
    settings = settings_file.read_settings(_settings_path())
    logs.configure_logging("INFO", settings.instance)
    entry = fleet_entry.FleetEntry(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, entry.request_stop)
    loop.add_signal_handler(signal.SIGHUP, _validate_changed_settings)
    await entry.run()


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


def main() -> int:
    """Run the entry and return the exit code."""
    try:
        uvloop.run(_serve())
    except errors.SettingsError as error:
        print(f"chicorydoor: {error}", file=sys.stderr)
        return _SETTINGS_ERROR_EXIT_CODE
    finally:
        for handler in logging.getLogger().handlers:
            handler.flush()
    return 0
