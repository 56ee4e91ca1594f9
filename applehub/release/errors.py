"""Exceptions of the release package."""


class ReleaseError(Exception):
    """Base class of the errors of this package."""


class PlanError(ReleaseError, ValueError):
    """A plan is invalid or can't be executed. The message has one line for each error."""


class StoredStateError(ReleaseError, ValueError):
    """The stored state of a release or of an agent is missing or can't be decoded."""


class MessageError(ReleaseError, ValueError):
    """A message between a controller and an agent can't be decoded."""


class OrderRejectedError(ReleaseError):
    """An agent rejected an order. The message is the reason."""


class LocalFailureError(ReleaseError):
    """A request could not be sent because this machine lacks a resource or a network."""
