"""State and services that the modules of the policy share while they handle an event."""

import heapq
import random
from collections.abc import Callable

from applehub import interface as api
from applehub.policy.job import Job

ScheduledCall = Callable[[Job | None], None]


class EventContext:
    """Clock time, actions, settings, random source and scheduled calls."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = self.call_count = self.timer_at = 0
        self.actions: list[api.Action] = []
        self.scheduled_calls: list[tuple[int, int, ScheduledCall, Job | None]] = []
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        self.settings, self.shortest_objective = (
            settings,
            min(spec.latency_objective for spec in settings.classes),
        )

    def log(self, text: str) -> None:
        """Adds a log line for the operators."""
        self.actions.append(api.Log(text))

    def call_later(self, delay: int, call: ScheduledCall, job: Job | None = None) -> None:
        """Schedules a call after a delay in nanoseconds."""
        self.call_count += 1
        heapq.heappush(self.scheduled_calls, (self.now + delay, self.call_count, call, job))

    def run_due_calls(self) -> None:
        """Runs the calls that are due and sets a timer for the next one."""
        while self.scheduled_calls and self.scheduled_calls[0][0] <= self.now:
            _, _, call, job = heapq.heappop(self.scheduled_calls)
            call(job)
        # Sets a timer that is not set, or that is overdue because its event was lost.
        if self.scheduled_calls and (self.timer_at <= self.now or self.scheduled_calls[0][0] < self.timer_at):
            self.timer_at = self.scheduled_calls[0][0]
            self.actions.append(api.SetTimer(self.timer_at - self.now, str(self.timer_at)))
