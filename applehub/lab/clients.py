"""Clients with their attempts, timeouts and retries, and the front-end load balancer that assigns
them to routers."""

from collections.abc import Callable

from applehub import interface as api
from applehub.lab.account import Account
from applehub.lab.attempts import ClientAttempt
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.demand import Demand, client_attempt_id
from applehub.lab.network import EmulatedNetwork
from applehub.lab.routers import RouterHost
from applehub.lab.rules import Rules
from applehub.lab.spec import Scenario
from applehub.lab.streams import RandomStream
from applehub.lab.workload import Workload


class Clients:
    """All clients of one simulation."""

    def __init__(
        self,
        scenario: Scenario,
        classes: list[api.RequestClass],
        clock: Clock,
        workload: Workload,
        net: EmulatedNetwork,
        account: Account,
        rules: Rules,
        routers_by_zone: list[list[RouterHost]],
        random_stream: Callable[[str], RandomStream],
        record_attempt: Callable[[ClientAttempt], None],
    ) -> None:
        """Args:
        random_stream: Returns an independent stream of random numbers for a name.
        record_attempt: Called with each client attempt.
        """
        self.scenario, self.classes, self.clock, self.workload = scenario, classes, clock, workload
        self.net, self.account, self.rules, self.record_attempt = net, account, rules, record_attempt
        self.routers_by_zone = routers_by_zone
        self.routers = sorted(
            (router for candidates in routers_by_zone for router in candidates),
            key=lambda router: router.index,
        )
        self.spec = scenario.clients
        self.random_stream, self.router_random = random_stream("clients"), random_stream("front")
        self.next_request = 0  # index of the next request in the workload
        self.down_routers: set[int] = set()  # indexes of routers that the front-end excludes

    def start(self) -> None:
        """Schedules the first request of the workload."""
        if self.workload.times:
            self.clock.at(self.workload.times[0], self._start_request)

    def _start_request(self, _: None) -> None:
        workload, number = self.workload, self.next_request
        self.next_request += 1
        if self.next_request < len(workload.times):
            self.clock.at(workload.times[self.next_request], self._start_request)
        cls = workload.classes[number]
        spec, work = self.scenario.workload.classes[cls], workload.work[number]
        weight = spec.worth * work / (spec.work_ms * MILLI)
        demand = Demand(
            number,
            cls,
            workload.zones[number],
            workload.keys[number],
            spec.write,
            work,
            self.clock.now,
            weight,
        )
        self.account.record_request(demand)
        self._start_attempt(demand)

    def _choose_router(self, zone: int) -> RouterHost | None:
        """Returns a random router of the client's zone, or of any zone if that zone has none available.

        Returns None if all routers are down.
        """
        candidates = self.routers_by_zone[zone]
        if self.down_routers or not candidates:
            candidates = [router for router in candidates if router.index not in self.down_routers]
            candidates = candidates or [
                router for router in self.routers if router.index not in self.down_routers
            ]
        return candidates[self.router_random.below(len(candidates))] if candidates else None

    def _start_attempt(self, demand: Demand) -> None:
        now, spec = self.clock.now, self.classes[demand.cls]
        low, high = self.spec.try_share
        deadline = min(
            now + int(spec.deadline * self.random_stream.between(low, high)),
            demand.created_at + spec.deadline,
        )
        router = self._choose_router(demand.zone)
        demand.client_attempt_count += 1
        self.account.client_attempt_count += 1
        if router is None:
            self._retry(demand, "unreachable", 0)
            return
        client_attempt = ClientAttempt(
            client_attempt_id(demand), demand, router, deadline, demand.client_attempt_count > 1
        )
        self.record_attempt(client_attempt)
        self.clock.after(self.net.client_delay, router.receive, client_attempt)
        self.clock.at(deadline, self._time_out, client_attempt)
        if self.spec.leave_early and self.random_stream.uniform() < self.spec.leave_early:
            self.clock.after(
                int((deadline - now) * self.random_stream.uniform()), self._abandon, client_attempt
            )

    def answered(self, client_attempt: ClientAttempt, outcome: str, retry_after: int, delay: int) -> None:
        """Schedules the arrival of a router's answer at the client, `delay` ns from now."""
        self.clock.after(delay, self._deliver_answer, (client_attempt, outcome, retry_after))

    def _deliver_answer(self, argument: tuple[ClientAttempt, str, int]) -> None:
        client_attempt, outcome, retry_after = argument
        if client_attempt.client_done:
            return
        client_attempt.client_done = True
        demand = client_attempt.demand
        if outcome == "ok":
            self.account.record_served(demand)
            return
        if outcome == "refused":
            outcome = (
                f"refused after {client_attempt.last_outcome}"
                if client_attempt.last_outcome
                else "refused unsent"
            )
        elif outcome == "failed":
            outcome = (
                f"failed after {client_attempt.last_outcome}"
                if client_attempt.last_outcome
                else "failed unsent"
            )
        self._retry(demand, outcome, retry_after)

    def _abandon(self, client_attempt: ClientAttempt) -> None:
        if not client_attempt.client_done:
            client_attempt.client_done = True
            client_attempt.router.cancel(client_attempt)
            self.account.record_lost(client_attempt.demand, "left early")

    def _time_out(self, client_attempt: ClientAttempt) -> None:
        """Ends the client's wait, and schedules the check that the router answers within the rule's slack."""
        if client_attempt.answered_at < 0:
            self.clock.after(self.rules.answer_slack, self.rules.check_answered, client_attempt)
        if client_attempt.client_done:
            return
        client_attempt.client_done = True
        self._retry(client_attempt.demand, f"timed out {self.account.location_of(client_attempt)}", 0)

    def _retry(self, demand: Demand, cause: str, retry_after: int) -> None:
        """Schedules a retry after a backoff, or counts the request as lost.

        A retry is allowed if the last attempt was not executed, the class is idempotent, or the request's
        idempotency key is still valid.
        """
        spec, now = self.classes[demand.cls], self.clock.now
        not_executed = cause.startswith("refused") or cause == "unreachable"
        within_window = spec.effect is api.Effect.KEYED and now < demand.created_at + spec.idempotency_window
        backoff = int(
            self.spec.backoff_ms
            * MILLI
            * (1 << (demand.client_attempt_count - 1))
            * self.random_stream.between(0.5, 1.5)
        )
        if retry_after and self.random_stream.uniform() < self.spec.honour:
            backoff = max(backoff, retry_after)
        allowed = not_executed or spec.effect is api.Effect.SAFE or within_window
        if (
            not allowed
            or demand.client_attempt_count > self.spec.retries
            or now + backoff >= demand.created_at + spec.deadline
        ):
            self.account.record_lost(demand, cause)
            return
        self.clock.after(backoff, self._start_retry, demand)

    def _start_retry(self, demand: Demand) -> None:
        if not demand.finished:
            self._start_attempt(demand)

    def schedule_health_update(self, router: RouterHost) -> None:
        """Makes the front-end detect a stopped router after a delay, or a started router immediately."""
        if router.accepting:
            self.down_routers.discard(router.index)
        else:
            self.clock.after(
                int(self.spec.notice_s * SECOND * self.random_stream.between(0.5, 1.5)),
                self._mark_down_if_stopped,
                router,
            )

    def mark_down(self, router: RouterHost) -> None:
        """Excludes a router before its planned restart."""
        self.down_routers.add(router.index)

    def _mark_down_if_stopped(self, router: RouterHost) -> None:
        if not router.accepting:
            self.down_routers.add(router.index)
