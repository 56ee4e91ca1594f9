"""What the parts of the policy share while they play an event."""

import heapq
import random
from collections.abc import Callable

from applehub import interface as api
from applehub.policy.job import Job

Call = Callable[[Job | None], None]


class Turn:
    """An event's time and the actions that answer it; settings, random source, what is to be done later."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = self.entries = self.wake_at = 0
        self.actions: list[api.Action] = []
        self.agenda: list[tuple[int, int, Call, Job | None]] = []
        self.retune(settings)

    def retune(self, settings: api.Settings) -> None:
        self.settings, self.shortest_aim = settings, min(spec.latency_objective for spec in settings.classes)

    def log(self, text: str) -> None:
        self.actions.append(api.Log(text))

    def later(self, delay: int, call: Call, job: Job | None = None) -> None:
        self.entries += 1
        heapq.heappush(self.agenda, (self.now + delay, self.entries, call, job))

    def run_agenda(self) -> None:
        while self.agenda and self.agenda[0][0] <= self.now:
            _, _, call, job = heapq.heappop(self.agenda)
            call(job)
        # Guards against an alarm that never comes: one overdue, or none yet, is asked for anew.
        if self.agenda and (self.wake_at <= self.now or self.agenda[0][0] < self.wake_at):
            self.wake_at = self.agenda[0][0]
            self.actions.append(api.SetTimer(self.wake_at - self.now, str(self.wake_at)))
