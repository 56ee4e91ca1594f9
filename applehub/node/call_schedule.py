"""When a watch makes its next call to discovery, by what its earlier calls have shown.

A change of the list counts as told 6 s after discovery has it, 4 s after a reload moved discovery, whether a
call brought it or not. So a call that is still unanswered is joined by a second one, on a connection of its
own, as late as the answer time that was learnt and that deadline allow. An unanswered call is not given up
for it: discovery handles calls in turn, and a call that is thrown away and made again waits from the start.

All times are seconds on the event loop's clock.
"""

import random

from applehub.node.answer_time import AnswerTime

HOLD = 2.5  # that discovery may hold a watch, at the most
LEAST_HOLD = 0.5  # the same, at the least
LATE = 0.7  # past its hold after which a watch that goes on counts as silent, at the least
JITTER = 0.3  # of LATE, drawn by each router: watches that fall silent together are not opened anew together
DEADLINE = 6.0  # from a change until it counts as told
RELOAD_DEADLINE = 4.0  # the same, from a reload that moved discovery
MARGIN = 0.3  # of the deadline that is kept for taking the list up
FIRST_ANSWER = 2.0  # expected of a call that waits for its turn, before the first was answered
MOST_ANSWER = 4.0  # the longest answer time that is waited for
LEAST_ANSWER = 0.5  # the shortest that is counted on; a last call is made so long before a deadline
# Between the begins of two calls of a watch that goes on, at the least: a call costs about as much whether it
# brings one change or many, and where thousands of servers are replaced, hundreds of changes come a second.
# A tenth of the grace that a draining server gives, and a quarter of the time in which a watch goes on.
WATCH_GAP = 0.05
LEAST_GAP = 1.0  # between two calls of which the first is unanswered
MOST_GAP = 2.4  # the same past a deadline: discovery may have come back since the first
CROWDED_GAP = 3.0  # the same after a refusal: the first stands in a queue that is known to be long
FIRST_PAUSE = 0.25  # the longest after a first failed call; doubled by each one that follows
MOST_PAUSE = 1.5  # the longest after any number of failed calls
WHOLE = 1 - 1e-9  # of a token: what is refilled in parts may fall short of one by rounding


class CallBudget:
    """A token bucket for calls that wait for a turn at discovery. Calls that go on with a watch need none."""

    __slots__ = ("at", "rate", "size", "tokens")

    def __init__(self, size: float, rate: float) -> None:
        """size: calls that may be made at once; rate: calls a second after that."""
        self.size, self.rate = size, rate
        self.tokens, self.at = size, 0.0

    def wait(self, now: float) -> float:
        """The seconds until the next call may be made."""
        self._refill(now)
        return 0.0 if self.tokens >= WHOLE else (1 - self.tokens) / self.rate

    def spend(self, now: float) -> None:
        """Counts a call that is made now."""
        self._refill(now)
        self.tokens = max(0.0, self.tokens - 1)

    def _refill(self, now: float) -> None:
        self.tokens = min(self.size, self.tokens + (now - self.at) * self.rate)
        self.at = now


class CallSchedule:
    """The times between the calls of one watch."""

    def __init__(self, source: random.Random, addresses: int = 1) -> None:
        self.random, self.addresses = source, addresses
        self.deadline: float | None = None  # when what changed since the last answer counts as told
        self._learn_anew()

    def _learn_anew(self) -> None:
        self.in_turn = AnswerTime(FIRST_ANSWER, LEAST_ANSWER, MOST_ANSWER)
        self.watch = AnswerTime(LATE, LATE, MOST_ANSWER)
        self.crowded = False  # a call was refused since the last answer

    def begin(self, now: float) -> None:
        """Notes that the first call is made; changes nothing later on."""
        if self.deadline is None:
            self.deadline = now + DEADLINE

    def moved(self, now: float, addresses: int) -> None:
        """Discovery is elsewhere from now on: what was learnt of its answer times says nothing of the new."""
        self.addresses = addresses
        self.deadline = now + RELOAD_DEADLINE
        self._learn_anew()

    def answered(self, now: float, took: float, hold: float, in_turn: bool) -> None:
        """Takes in that a call was answered.

        took: the seconds from its begin to its answer. hold: those for which discovery might hold it.
        in_turn: it had to wait for a turn, since it did not go on with a watch. A watch that is answered
        before its hold is over brings a change, and how long that took to come is not known.
        """
        self.deadline, self.crowded = now + DEADLINE, False
        if took >= hold:
            (self.in_turn if in_turn else self.watch).observe(took - hold)

    @property
    def hold(self) -> float:
        """How long discovery may hold a watch that is opened now.

        Calls that wait for a turn may take so long that a watch has to be found silent sooner. Watches that
        are held for a shorter time go on more often, which takes no turn.
        """
        longest = DEADLINE - MARGIN - self.in_turn.mean - self.watch.timeout * (1 + JITTER)
        return min(HOLD, max(longest, LEAST_HOLD))

    def spread(self) -> float:
        """A factor for the delay of one call, drawn so that routers do not call in step."""
        return 1 + JITTER * self.random.random()

    def watch_due(self, begun: float, hold: float, in_turn: bool, spread: float) -> float:
        """When a watch that was opened at a time and has not been answered is joined by another call."""
        if in_turn:
            answer = max(self.in_turn.timeout, FIRST_ANSWER)
            return begun + min(hold + answer, DEADLINE - MARGIN - LEAST_GAP)
        return begun + min(hold + self.watch.timeout * spread, self._gap_for_deadline())

    def call_due(self, begun: float, spread: float) -> float:
        """The same for a call that need not wait, or a watch whose connection is not up yet.

        A further call takes a turn from other routers, and discovery may drop the first for it. So it is made
        only for the case that a connection is lost, as late as the deadline allows; with several addresses it
        goes to another service and is made sooner.
        """
        left = (self.deadline or begun) - begun
        if self.addresses > 1:
            gap = LEAST_GAP / spread
        elif self.crowded:
            gap = CROWDED_GAP / spread
        elif left >= LEAST_GAP:
            gap = max(left - LEAST_ANSWER, LEAST_GAP)
        else:
            gap = MOST_GAP / spread
        return begun + min(gap, CROWDED_GAP, self._gap_for_deadline())

    def refused(self) -> None:
        """Takes in that a call was refused: discovery is there, and has more calls than it can handle."""
        self.crowded = True

    def _gap_for_deadline(self) -> float:
        """The longest gap at which some call that begins after a change is answered before its deadline."""
        return max(DEADLINE - MARGIN - self.in_turn.mean, LEAST_GAP)

    def pause(self, failures: int) -> float:
        """The pause after so many failed calls in a row: exponential back-off with full jitter."""
        longest = min(MOST_PAUSE, FIRST_PAUSE * 2.0 ** min(failures - 1, 10))
        return self.random.uniform(0, longest)
