"""The exceptions of the list service."""


class RegistryError(Exception):
    """Base class of the exceptions of the list service."""


class ConfigError(RegistryError, ValueError):
    """Raised for an invalid configuration file; the message has one line per fault."""


class MessageError(RegistryError, ValueError):
    """Raised if a line from another replica can't be decoded as a message."""


class CommandError(RegistryError, ValueError):
    """Raised if a log entry can't be decoded as a command."""


class StoreError(RegistryError):
    """Raised if the store is unusable; the message names the file and the reason."""


class StoreRefusedError(StoreError):
    """Raised if the disk or the system refuses access; the stored data is intact, and a retry may succeed."""


class NotLeaseHolderError(RegistryError):
    """Raised if this replica can't accept a command, or loses its lease before the command is committed.

    In the second case, the command may still be committed later."""
