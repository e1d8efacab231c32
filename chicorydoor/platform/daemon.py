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
from chicorydoor.coordination import supervision
from chicorydoor.platform import settings_file
from chicorydoor.transport import logs

_SETTINGS_ERROR_EXIT_CODE = 2
# Targets of an added failure domain should get requests within a few seconds.
_SETTINGS_CHECK_INTERVAL_S = 2.0
_LOG = logging.getLogger("chicorydoor.platform")


def _settings_path() -> pathlib.Path:
    """Return the path of the settings file from the environment."""
    return pathlib.Path(
        os.environ.get(settings_file.SETTINGS_PATH_VARIABLE, "")
    )


class _SettingsReloader:
    """Applies changes of the settings file to a running entry.

    The file may change without a signal, and be incomplete for a moment.

    Args:
        path (Path): The settings file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._content = self._read_content()

    def _read_content(self) -> bytes:
        """Return the file's content; empty while it cannot be read."""
        try:
            return self._path.read_bytes()
        except OSError:
            return b""

    async def run(self, entry: fleet_entry.FleetEntry) -> None:
        """Look for changes until cancelled."""
        while True:
            await asyncio.sleep(_SETTINGS_CHECK_INTERVAL_S)
            if self._read_content() != self._content:
                self.reload(entry)

    def reload(self, entry: fleet_entry.FleetEntry) -> None:
        """Read the file; an entry keeps its settings if it is not valid."""
        self._content = self._read_content()
        try:
            settings = settings_file.read_settings(self._path)
        except errors.SettingsError as error:
            _LOG.error(
                "changed settings are not valid, the active ones are kept",
                extra={"reason": f"{error}"},
            )
            return
        entry.apply_settings(settings)
        _LOG.info(
            "settings read again", extra={"instance_id": settings.instance}
        )


async def _serve() -> None:
    path = _settings_path()
    reloader = _SettingsReloader(path)
    settings = settings_file.read_settings(path)
    logs.configure_logging("INFO", settings.instance)
    entry = fleet_entry.FleetEntry(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, entry.request_stop)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload, entry)
    reloading = asyncio.create_task(
        supervision.run_supervised("settings", lambda: reloader.run(entry))
    )
    try:
        await entry.run()
    finally:
        reloading.cancel()


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
