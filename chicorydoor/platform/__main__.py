"""Starts the daemon; ``daemon`` has its code."""

import signal

# By default SIGHUP ends a process. The imports below take long; the settings
# are read after them, so that no change is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402

from chicorydoor.platform import daemon  # noqa: E402

if __name__ == "__main__":
    sys.exit(daemon.main())
