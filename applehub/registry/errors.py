"""The exceptions of the package."""


class RegistryError(Exception):
    """Base class of the exceptions of the list service."""


class ConfigError(RegistryError, ValueError):
    """The configuration file is invalid; the message has one line per fault."""


class MessageError(RegistryError, ValueError):
    """A line from another replica can't be decoded as a message."""


class CommandError(RegistryError, ValueError):
    """A log entry can't be decoded as a command."""


class StoreError(RegistryError):
    """The store is unusable; the message names the file and the reason."""


class StoreRefusedError(StoreError):
    """The disk or the system refuses access temporarily; the stored data is intact."""


class NotLeaseHolderError(RegistryError):
    """This replica can't accept a command, or lost its lease before the command was committed.

    In the second case, the command may still be committed."""
