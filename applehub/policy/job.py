"""A request that a router holds."""

from dataclasses import dataclass, field

from applehub import interface as api
from applehub.policy.rates import SECOND
from applehub.policy.servers import Server

HELD_UP = 15 * SECOND // 100  # for which the process may stand still between a decision and its writing


@dataclass(slots=True, eq=False)
class Job:
    """A request this router holds, with what its attempts have proved so far."""

    request: api.Request
    spec: api.RequestClass
    due: int  # until when it is worth its full: the end of its aim, or its deadline if that is sooner
    marked: bool = False  # over its tenant's share
    likely_miss: bool = False  # its key was not lately seen hit; in through mode, not lately sent
    skip: int = 0  # owners of a hot key's ranges that this request passes by
    at_origin: bool = False  # a write, or a read that missed
    apart: bool = False  # what becomes of its origin read tells nothing of the caches
    made: int = 0  # attempts so far
    not_begun: int = 0  # attempts among them that failed on this machine
    unreached: set[str] = field(default_factory=set)  # servers that are passed by for one of those
    waiting: bool = False  # for this machine to be able to begin an attempt
    paid: bool = False  # it holds a token that no attempt has used yet
    live: dict[int, tuple[Server, int]] = field(default_factory=dict)  # may have run: where, when sent
    out: set[int] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)

    @property
    def begun(self) -> int:
        """Attempts so far that count: those that this machine could begin."""
        return self.made - self.not_begun

    @property
    def window_ends(self) -> int:
        """Until when a repeat of what may have run may be decided on, so that it begins in its window also if
        the process stands still in between."""
        return min(sent for _, sent in self.live.values()) + self.spec.idempotency_window - HELD_UP

    def pass_by_none(self) -> None:
        """Servers that this machine could not begin an attempt at may be tried again."""
        self.tried -= self.unreached
        self.unreached.clear()

    @property
    def reads_origin(self) -> bool:
        """Whether others may wait for what it reads from the origin."""
        return self.at_origin and not self.apart and not self.request.write and self.request.key is not None
