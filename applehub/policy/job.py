"""State of the requests in progress."""

from dataclasses import dataclass, field

from applehub import interface as api
from applehub.policy.rates import SECOND
from applehub.policy.servers import Server

# Longest pause of the process between the decision to send an attempt and the write to the socket.
MAX_PAUSE = 15 * SECOND // 100


@dataclass(slots=True)
class MissInFlight:
    """An attempt for a likely miss, which shows the health of the origin."""

    sent_at: int
    slow_at: int  # clock time from which it counts as slow
    response_started: bool = False  # whether it is not silent, and so is judged by its result alone


@dataclass(slots=True, eq=False)
class Job:
    """A request in progress and the state of its attempts."""

    request: api.Request
    spec: api.RequestClass
    objective_deadline: int  # end of the latency objective, or the deadline if that is earlier
    over_quota: bool = False  # whether the request exceeds its tenant's quota
    # Whether the key was not hit recently or, in cache-through mode, not requested recently.
    likely_miss: bool = False
    skip_owners: int = 0  # number of range owners to skip, to spread a hot key
    at_origin: bool = False  # whether to send to the origin: a write, or a read that missed
    detached: bool = False  # whether its origin read does not affect the caches
    attempts_made: int = 0
    not_started: int = 0  # attempts that this machine could not start
    unreachable: set[str] = field(default_factory=set)  # servers to skip since no attempt could be started
    waiting_to_start: bool = False  # whether it is queued until this machine can start an attempt
    has_token: bool = False  # whether the job has a token that no attempt has used yet
    # Attempts that may have been executed: server and send time, by attempt number.
    may_have_run: dict[int, tuple[Server, int]] = field(default_factory=dict)
    in_flight: set[int] = field(default_factory=set)  # numbers of the attempts in flight
    tried: set[str] = field(default_factory=set)  # servers that get no further attempt

    @property
    def attempts_started(self) -> int:
        """Number of attempts, not counting those that this machine could not start."""
        return self.attempts_made - self.not_started

    @property
    def retry_window_end(self) -> int:
        """Clock time until which a retry of a request that may have been executed is allowed.

        Leaves time for a pause of the process, so that the retry is received within the idempotency window.
        """
        return min(sent for _, sent in self.may_have_run.values()) + self.spec.idempotency_window - MAX_PAUSE

    def clear_unreachable(self) -> None:
        """Allows attempts again at the servers at which this machine could not start one."""
        self.tried -= self.unreachable
        self.unreachable.clear()

    @property
    def shares_origin_read(self) -> bool:
        """Whether other jobs may wait for this job's origin read."""
        return (
            self.at_origin and not self.detached and not self.request.write and self.request.key is not None
        )
