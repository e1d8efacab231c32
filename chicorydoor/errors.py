"""The exception tree of the package."""


class ChicorydoorError(Exception):
    """Base of every error that the package raises on purpose."""


class SettingsError(ChicorydoorError):
    """A settings file is missing or not valid."""


class ConfigurationError(ChicorydoorError):
    """An operator's configuration is not valid."""


class StoreError(ChicorydoorError):
    """The key-value service did not answer as its protocol says."""


class StoreUnavailableError(StoreError):
    """The key-value service could not be reached or timed out.

    A write that ends with this error may have taken effect.
    """


class ConflictError(ChicorydoorError):
    """Another change was committed since the named base revision."""


class PeerError(ChicorydoorError):
    """A peer did not answer, or its message was not valid."""


class PeerTimeoutError(PeerError):
    """A peer did not answer in time."""


class TargetError(ChicorydoorError):
    """A target could not be reached or gave a bad answer.

    Args:
        reason (str): What was seen.
        sent (bool): Whether any byte of the request may have been sent.
        is_vanished (bool): Whether the network gave the target up for gone.
            Defaults to False.
    """

    def __init__(
        self, reason: str, sent: bool, is_vanished: bool = False
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.is_vanished = is_vanished


class UnreachableError(ChicorydoorError):
    """No entry answered an operator's command."""


class AdministrationError(ChicorydoorError):
    """The administration API refused a call."""


class HistoryLostError(StoreError):
    """The key-value service no longer holds the history asked for."""
