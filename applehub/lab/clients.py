"""Clients: their tries, time-outs and retries, and the front that deals them to routers."""

from collections.abc import Callable

from applehub import interface as api
from applehub.lab.account import Account
from applehub.lab.clock import MILLI, SECOND, Clock
from applehub.lab.demand import Demand, try_id
from applehub.lab.network import Net
from applehub.lab.routers import RouterHost
from applehub.lab.rules import Rules
from applehub.lab.spec import Day
from applehub.lab.streams import Draws
from applehub.lab.tries import Asked
from applehub.lab.workload import Workload


class Clients:
    """All clients of one play."""

    def __init__(
        self,
        day: Day,
        classes: list[api.RequestClass],
        clock: Clock,
        workload: Workload,
        net: Net,
        account: Account,
        rules: Rules,
        routers_in: list[list[RouterHost]],
        draws: Callable[[str], Draws],
        follow: Callable[[Asked], None],
    ) -> None:
        """routers_in: by zone. draws: a stream of its own for each name. follow: is told of each try."""
        self.day, self.classes, self.clock, self.workload = day, classes, clock, workload
        self.net, self.account, self.rules, self.follow = net, account, rules, follow
        self.routers_in = routers_in
        self.routers = sorted((one for near in routers_in for one in near), key=lambda one: one.index)
        self.spec = day.clients
        self.draws, self.dealt = draws("clients"), draws("front")
        self.next = 0  # of the workload
        self.noticed_down: set[int] = set()  # routers that the front deals nobody to

    def begin(self) -> None:
        if self.workload.times:
            self.clock.at(self.workload.times[0], self._arrive)

    def _arrive(self, _: None) -> None:
        load, number = self.workload, self.next
        self.next += 1
        if self.next < len(load.times):
            self.clock.at(load.times[self.next], self._arrive)
        cls = load.classes[number]
        spec, work = self.day.workload.classes[cls], load.works[number]
        worth = spec.worth * work / (spec.work_ms * MILLI)
        demand = Demand(
            number, cls, load.zones[number], load.keys[number], spec.write, work, self.clock.now, worth
        )
        self.account.asked_for(demand)
        self._try(demand)

    def _deal(self, zone: int) -> RouterHost | None:
        """A router of the client's zone; where there is none, any."""
        near = self.routers_in[zone]
        if self.noticed_down or not near:
            near = [one for one in near if one.index not in self.noticed_down]
            near = near or [one for one in self.routers if one.index not in self.noticed_down]
        return near[self.dealt.below(len(near))] if near else None

    def _try(self, demand: Demand) -> None:
        now, spec = self.clock.now, self.classes[demand.cls]
        low, high = self.spec.try_share
        deadline = min(now + int(spec.deadline * self.draws.between(low, high)), demand.born + spec.deadline)
        router = self._deal(demand.zone)
        demand.tries += 1
        self.account.tries += 1
        if router is None:
            self._retry(demand, "unreachable", 0)
            return
        asked = Asked(try_id(demand), demand, router, deadline, demand.tries > 1)
        self.follow(asked)
        self.clock.after(self.net.client, router.take, asked)
        self.clock.at(deadline, self._give_up, asked)
        if self.spec.leave_early and self.draws.uniform() < self.spec.leave_early:
            self.clock.after(int((deadline - now) * self.draws.uniform()), self._leave, asked)

    def answered(self, asked: Asked, how: str, retry_after: int, way: int) -> None:
        """A router has answered; the client hears it after a while."""
        self.clock.after(way, self._hear, (asked, how, retry_after))

    def _hear(self, what: tuple[Asked, str, int]) -> None:
        asked, how, retry_after = what
        if asked.heard:
            return
        asked.heard = True
        demand = asked.demand
        if how == "ok":
            self.account.served(demand)
            return
        if how == "refused":
            how = f"refused after {asked.last}" if asked.last else "refused unsent"
        elif how == "failed":
            how = f"failed after {asked.last}" if asked.last else "failed unsent"
        self._retry(demand, how, retry_after)

    def _leave(self, asked: Asked) -> None:
        if not asked.heard:
            asked.heard = True
            asked.router.withdraw(asked)
            self.account.lost(asked.demand, "left early")

    def _give_up(self, asked: Asked) -> None:
        """The client stops waiting; the router still owes an answer for the rule's slack."""
        if asked.final < 0:
            self.clock.after(self.rules.slack, self.rules.overdue, asked)
        if asked.heard:
            return
        asked.heard = True
        self._retry(asked.demand, f"timed out {self.account.where(asked)}", 0)

    def _retry(self, demand: Demand, why: str, retry_after: int) -> None:
        """Tries again after a wait, where the class and what is known of the last try allow it."""
        spec, now = self.classes[demand.cls], self.clock.now
        harmless = why.startswith("refused") or why == "unreachable"
        windowed = spec.effect is api.Effect.KEYED and now < demand.born + spec.window
        wait = int(self.spec.backoff_ms * MILLI * (1 << (demand.tries - 1)) * self.draws.between(0.5, 1.5))
        if retry_after and self.draws.uniform() < self.spec.honour:
            wait = max(wait, retry_after)
        allowed = harmless or spec.effect is api.Effect.SAFE or windowed
        if not allowed or demand.tries > self.spec.retries or now + wait >= demand.born + spec.deadline:
            self.account.lost(demand, why)
            return
        self.clock.after(wait, self._again, demand)

    def _again(self, demand: Demand) -> None:
        if not demand.over:
            self._try(demand)

    def notice(self, router: RouterHost) -> None:
        """The front learns after some time that a router is down, at once that one is back."""
        if router.taking:
            self.noticed_down.discard(router.index)
        else:
            self.clock.after(
                int(self.spec.notice_s * SECOND * self.draws.between(0.5, 1.5)), self._noticed, router
            )

    def leave_out(self, router: RouterHost) -> None:
        """The front is told of a planned restart."""
        self.noticed_down.add(router.index)

    def _noticed(self, router: RouterHost) -> None:
        if not router.taking:
            self.noticed_down.add(router.index)
