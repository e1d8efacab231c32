"""Exceptions of the package."""


class ChicorydoorError(Exception):
    """Base of all exceptions that the package raises."""


class SettingsError(ChicorydoorError):
    """A settings file is missing or not valid."""


class ConfigurationError(ChicorydoorError):
    """An operator's configuration is not valid."""


class StoreError(ChicorydoorError):
    """The key-value store violated its protocol or failed."""


class StoreUnavailableError(StoreError):
    """The key-value store could not be reached or timed out.

    A write that fails with this error may have taken effect.
    """


class ConflictError(ChicorydoorError):
    """Another change was committed after the base revision of this one."""


class PeerError(ChicorydoorError):
    """A peer did not respond, or its message was not valid."""


class PeerTimeoutError(PeerError):
    """A peer did not respond in time."""


class TargetError(ChicorydoorError):
    """A target could not be reached or its response was not valid.

    Args:
        reason (str): Description of the failure.
        may_have_been_sent (bool): Whether any byte of the request may have
            been sent.
        is_tcp_timeout (bool): Whether the operating system timed out the
            connection because the target acknowledged nothing. Defaults to
            False.
        is_refused (bool): Whether no process listens at the address. Defaults
            to False.
        is_own_shortage (bool): Whether this process had no descriptor for a
            connection, which says nothing about the target. Defaults to
            False.
    """

    def __init__(
        self,
        reason: str,
        may_have_been_sent: bool,
        is_tcp_timeout: bool = False,
        is_refused: bool = False,
        is_own_shortage: bool = False,
    ) -> None:
        super().__init__(reason)
        self.may_have_been_sent = may_have_been_sent
        self.is_tcp_timeout = is_tcp_timeout
        self.is_refused = is_refused
        self.is_own_shortage = is_own_shortage


class UnreachableError(ChicorydoorError):
    """No entry responded to an operator's command."""


class AdministrationError(ChicorydoorError):
    """The administration API rejected a call."""


class HistoryLostError(StoreError):
    """The key-value store has compacted the requested revisions."""
