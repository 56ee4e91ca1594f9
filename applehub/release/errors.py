"""Errors of a release. They form one tree, so that a command reports any of them the same way."""


class ReleaseError(Exception):
    """Base of all errors of this package."""


class PlanError(ReleaseError, ValueError):
    """A plan can't be carried out. The text has a line for each fault."""


class StoredStateError(ReleaseError, ValueError):
    """The stored state of a release or of an agent is missing or can't be decoded."""


class MessageError(ReleaseError, ValueError):
    """A message between a controller and an agent can't be decoded."""


class OrderRefusedError(ReleaseError):
    """An agent does not accept an order. The text says why."""


class LocalFailureError(ReleaseError):
    """A request could not be made because this machine lacks a resource or a network."""
