"""Thin daemon: an entry on the platform, until SIGTERM."""

import asyncio
import logging
import os
import pathlib
import signal
import sys

import uvloop

from chicorydoor import errors
from chicorydoor import fleet_entry
from chicorydoor.platform import settings as settings_module
from chicorydoor.transport import logs

_SETTINGS_ERROR = 2
_LOG = logging.getLogger("chicorydoor.platform")


def _path() -> pathlib.Path:
    return pathlib.Path(os.environ.get(settings_module.PATH_VARIABLE, ""))


async def _serve() -> None:
    checked = settings_module.read(_path())
    logs.configure("INFO", checked.instance)
    entry = fleet_entry.FleetEntry(checked)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, entry.stop)
    loop.add_signal_handler(signal.SIGHUP, _note_changed_settings)
    await entry.run()


def _note_changed_settings() -> None:
    """Nothing that an entry holds from its settings changes while it runs."""
    try:
        checked = settings_module.read(_path())
    except errors.SettingsError as error:
        _LOG.error(
            "changed settings are not valid, the old ones stay",
            extra={"reason": f"{error}"},
        )
        return
    _LOG.info("settings read again", extra={"instance_id": checked.instance})


def main() -> int:
    """Run the entry; returns the exit code."""
    try:
        uvloop.run(_serve())
    except errors.SettingsError as error:
        print(f"chicorydoor: {error}", file=sys.stderr)
        return _SETTINGS_ERROR
    finally:
        for handler in logging.getLogger().handlers:
            handler.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
