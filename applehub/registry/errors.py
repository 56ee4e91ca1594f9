"""The errors of the package, as one tree."""


class RegistryError(Exception):
    """Something in the list service failed."""


class ConfigError(RegistryError, ValueError):
    """The configuration file is of no use; a line for each fault names file, key and expectation."""


class MessageError(RegistryError, ValueError):
    """A line from another replica is no message."""


class CommandError(RegistryError, ValueError):
    """Bytes of the log are no command."""


class StoreError(RegistryError):
    """What is on the disk can't be used: file and reason."""


class StoreRefusedError(StoreError):
    """The disk, or the system, refuses for now: nothing is wrong with what it holds."""


class NotLeaseHolderError(RegistryError):
    """This replica can't take a command now, or lost its lease before it was agreed on (it may still be)."""
