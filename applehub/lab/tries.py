"""A client's try at a router, and the attempts that the router makes for it."""

from dataclasses import dataclass, field
from typing import Protocol

from applehub import interface as api
from applehub.lab.demand import Demand
from applehub.lab.origin import OriginServer
from applehub.lab.servers import CacheServer

Place = CacheServer | OriginServer


class Router(Protocol):
    """What others know of the router that a try was made at."""

    index: int
    up: bool
    asked: "dict[str, Asked]"
    known: dict[str, api.Member]
    told_away: dict[str, int]
    subscribed: bool
    asked_at: int
    max_attempts: int

    def withdraw(self, asked: "Asked") -> None:
        """The client has left early."""

    def answered(self, attempt: "Attempt", status: api.Status, note: int) -> None:
        """A server has answered."""

    def broken(self, attempt: "Attempt") -> None:
        """The server's process has ended under an attempt."""


@dataclass(slots=True, eq=False)
class Asked:
    """One try of a client at one router."""

    id: str
    demand: Demand
    router: "Router"
    deadline: int
    retry: bool
    final: int = -1  # when the router gave its answer
    heard: bool = False  # the client has it, or no longer waits
    made: int = 0
    live: "dict[int, Attempt]" = field(default_factory=dict)  # may have run
    out: "dict[int, Attempt]" = field(default_factory=dict)
    missed: list[CacheServer] = field(default_factory=list)
    last: str = ""  # how its last attempt ended, and where
    events: list[tuple[int, str]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt; ended: nobody waits for it any more."""

    asked: Asked
    number: int
    router: "Router"
    server: Place
    sent: int
    life: int  # of the router
    incarnation: int  # of the server
    opened: bool = False  # on a new connection
    linked: bool = False  # the connection counts at the server
    written: bool = False
    ended: bool = False
    hit: bool = False
