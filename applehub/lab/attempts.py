"""A client's attempt at a router, and the attempts that the router makes at servers to answer it."""

from dataclasses import dataclass, field
from typing import Protocol

from applehub import interface as api
from applehub.lab.demand import Demand
from applehub.lab.origin import OriginServer
from applehub.lab.servers import CacheServer

Backend = CacheServer | OriginServer


class Router(Protocol):
    """Interface of a router as used by client attempts, server attempts and rule checks."""

    index: int
    up: bool
    pending: "dict[str, ClientAttempt]"
    known: dict[str, api.Member]
    drain_reported_at: dict[str, int]
    subscribed: bool
    watch_started_at: int
    max_attempts: int

    def cancel(self, client_attempt: "ClientAttempt") -> None:
        """Handles a client that cancelled its attempt."""

    def answered(self, attempt: "Attempt", status: api.Status, note: int) -> None:
        """Handles a server's response to an attempt; note: 1 for a cache hit, 2 for a miss, else 0."""

    def connection_broken(self, attempt: "Attempt") -> None:
        """Handles the loss of an attempt's connection, as when the server's process ends."""


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One attempt of a client at one router."""

    id: str
    demand: Demand
    router: "Router"
    deadline: int  # ns
    retry: bool
    answered_at: int = -1  # time of the router's final answer, ns; -1: none yet
    client_done: bool = False  # the client received the answer or stopped waiting
    attempts_made: int = 0
    # Attempts that a server may have executed, by number.
    possibly_executed: "dict[int, Attempt]" = field(default_factory=dict)
    in_flight: "dict[int, Attempt]" = field(default_factory=dict)  # attempts without a result, by number
    missed_at: list[CacheServer] = field(default_factory=list)  # servers that reported a cache miss
    last_outcome: str = ""  # status of the last finished attempt and the type of its server
    events: list[tuple[int, str]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a router at a server."""

    client_attempt: ClientAttempt
    number: int
    router: "Router"
    server: Backend
    sent_at: int  # ns
    router_incarnation: int
    server_incarnation: int
    opened: bool = False  # the attempt uses a new connection
    connection_counted: bool = False  # the server counts the connection as open
    written: bool = False
    ended: bool = False  # the router no longer waits for the result
    hit: bool = False
