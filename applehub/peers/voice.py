"""Between the module and the speaker: names for indexes, digests for names."""

from collections.abc import Iterable

from applehub import interface as api
from applehub.peers.codec import MOST_KINDS
from applehub.peers.records import SECOND, Limit, Shares, Verdict, digest
from applehub.peers.speaker import Speaker

LOOK = SECOND // 4  # between two looks at whether this process is one of those whose limits are told


class Voice:
    """Tells what the module tells, and hears for it."""

    def __init__(self, speaker: Speaker) -> None:
        self.speaker = speaker
        self.spoken_of: set[str] = set()  # servers
        self.looked = -LOOK

    def say(self, now: int, tell: api.Tell, kinds: dict[str, int]) -> None:
        """Takes up what the module tells. kinds: index of each kind by its name."""
        speaker = self.speaker
        for name, attempts in tell.failing.items():
            speaker.tell(now, Verdict(True, attempts), digest(name))
        for name in tell.vouched:
            speaker.tell(now, Verdict(False, 0), digest(name))
        named = tell.failing.keys() | set(tell.vouched)
        for name in self.spoken_of - named:
            speaker.tell(now, Verdict(False, 0), digest(name))
            speaker.forget(Verdict, digest(name))
        self.spoken_of = named
        if now - self.looked >= LOOK and speaker.tells_limits:
            self.looked = now
            speaker.tell(now, Limit(tell.rate, tell.spent))
            shares = [(digest(name), tell.shares[at]) for name, at in kinds.items() if at in tell.shares]
            speaker.tell(now, Shares(self._part(shares)))

    def _part(self, shares: list[tuple[int, float]]) -> tuple[tuple[int, float], ...]:
        """As many kinds as one record holds. Where there are more they take turns, and each router begins
        with others, so that at any time some router tells of each."""
        if len(shares) <= MOST_KINDS:
            return tuple(shares)
        own = self.speaker.own.get((Shares, 0))
        tellings = own.version if own is not None else 0
        start = (self.speaker.life + tellings * MOST_KINDS) % len(shares)
        return tuple((shares[start:] + shares[:start])[:MOST_KINDS])

    def hear(self, now: int, servers: Iterable[str], kinds: dict[str, int]) -> api.Fleet:
        """What the module is told: of servers that it lists, and of nothing else."""
        view = self.speaker.view(now)
        fleet = api.Fleet(view.routers)
        for name, at in kinds.items():
            share = view.shares.get(digest(name))
            if share is not None:
                fleet.shares[at] = share
        if view.accused:
            for name in servers:
                accused = view.accused.get(digest(name))
                if accused is not None:
                    fleet.accused[name] = (accused.failing, accused.of)
        return fleet
