"""Applies the list of servers from discovery to the connection pools, and notifies the balancer of it."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from applehub import interface as api
from applehub.node.caches import CacheConnection
from applehub.node.origin import OriginConnection
from applehub.node.pool import Endpoint, Pools
from applehub.node.start_times import ClockReading, Start, StartTimes
from applehub.settings import Json, Names

NS_PER_S = 1e9
STATES = {"Ready": api.State.READY, "Terminating": api.State.DRAINING, "Gone": api.State.GONE}
log = logging.getLogger("applehub")


class ListError(ValueError):
    """The list, one of its entries or an address is invalid."""


@dataclass(slots=True)
class Target:
    """An entry of the server list, with the address at which this router connects to the server."""

    member: api.Member
    endpoint: Endpoint
    start: Start


def read_endpoint(text: object) -> Endpoint:
    """Parses HOST:PORT; raises ListError."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isdecimal() or not int(port) < 65_536:
        raise ListError(f"expected an address HOST:PORT, got {text!r}")
    return host.strip("[]"), int(port)


class Directory:
    """This router's copy of the server list, with its version."""

    def __init__(
        self, names: Names, origin_kind: int, pools: Pools, notify: Callable[[api.Members], None]
    ) -> None:
        self.names, self.origin_kind, self.pools, self.notify = names, origin_kind, pools, notify
        self.rev = -1
        self.targets: dict[str, Target] = {}
        self.excluded: set[str] = set()  # names of servers that an operator override excludes
        # Called with each applied answer of discovery, and whether it contains the full list.
        self.on_update: Callable[[Json, bool], None] = lambda answer, is_full: None
        self.start_times = StartTimes()

    @property
    def can_serve(self) -> bool:
        return any(
            self.is_cache(name) and self._accepts_attempts(target) for name, target in self.targets.items()
        )

    @property
    def cache_count(self) -> int:
        """Number of listed cache servers."""
        return sum(map(self.is_cache, self.targets))

    def is_cache(self, name: str) -> bool:
        return name in self.targets and self.targets[name].member.kind != self.origin_kind

    def set_excluded(self, name: str, excluded: bool) -> None:
        """Applies or lifts an operator override that excludes a cache server, whatever its listed state."""
        (self.excluded.add if excluded else self.excluded.discard)(name)
        if name in self.targets:
            self._update_pool(self.targets[name])

    def apply(self, answer: Any, cached: bool = False) -> bool:
        """Applies a list or changes of it; returns False, with no effect, for an older version.

        answer: decoded JSON, as discovery sends it.
        cached: whether the list comes from the configuration or from disk; it is then complete and of unknown
        age.

        Raises ListError if the answer as a whole is invalid.
        """
        if not isinstance(answer, dict) or not isinstance(answer.get("targets"), list):
            raise ListError("expected an object with a list `targets`")
        rev, is_full = answer.get("rev"), answer.get("all") is True or cached
        if type(rev) is not int:
            raise ListError(f"rev: expected an integer, got {rev!r}")
        now = ClockReading(time.monotonic_ns(), time.time_ns())
        if rev < self.rev:
            return False
        if rev == self.rev and not is_full:
            self.start_times.confirm(now)
            return True
        self.rev = rev
        entries = [
            target for entry in answer["targets"] if (target := self._read_entry(entry, now)) is not None
        ]
        if not cached:
            self.start_times.confirm(now)
        listed = {target.member.server for target in entries}
        removed = [name for name in self.targets if name not in listed] if is_full else []
        if not is_full and not entries:
            return True
        previous = {name: self.targets[name] for name in listed if name in self.targets}
        for target in entries:
            self._add(target)
        kind = api.ListKind.FULL if is_full else api.ListKind.DELTA
        self.notify(api.Members(api.ListKind.CACHED if cached else kind, [entry.member for entry in entries]))
        # The calls below cancel attempts. The balancer has the new list and decides by it on their retries.
        for name in removed:
            self._remove(name)
        for target in entries:
            self._finish_update(target, previous.get(target.member.server))
        self.start_times.forget_unlisted(self.targets, len(self.targets))
        if not cached:
            self.on_update(answer, is_full)
        return True

    def _read_entry(self, entry: Any, now: ClockReading) -> Target | None:
        """Parses an entry; logs an invalid entry and returns None, so that the others are still applied."""
        try:
            return self._parse_entry(entry, now)
        except (ListError, KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("invalid list entry is skipped: %s: %s", type(error).__name__, error)
            return None

    def _parse_entry(self, entry: Json, now: ClockReading) -> Target:
        name, boot, weight = entry["uid"], entry.get("boot_ms") or 0, entry.get("capacity_hint", 1.0)
        if not isinstance(name, str) or not name:
            raise ListError("uid: expected a non-empty string")
        start = self.start_times.convert(name, int(boot) if boot > 0 else 0, now)
        member = api.Member(
            name,
            STATES[entry["state"]],
            self.names.kinds[entry["model"]],
            self.names.zones[entry["az"]],
            int(entry.get("pod_group") or 0),
            start.since,
            1.0 if weight is None else float(weight),
        )
        return Target(member, read_endpoint(entry["endpoint"]), start)

    def _add(self, target: Target) -> None:
        """Creates the server's pool before the balancer is notified and may send attempts there."""
        if target.member.state is not api.State.GONE:
            name = target.member.server
            make_connection = OriginConnection if target.member.kind == self.origin_kind else CacheConnection
            pool = self.pools.add(name, target.endpoint, make_connection)
            pool.retired = pool.retired and not self._accepts_attempts(target)
            self.targets[name] = target

    def _finish_update(self, target: Target, previous: Target | None) -> None:
        """Closes connections that are no longer usable, after the balancer was notified."""
        name = target.member.server
        if target.member.state is api.State.GONE:
            self._remove(name)
            return
        start = target.start
        if previous is not None and start.boot_ms > 0 and start.boot_ms != previous.start.boot_ms:
            # The list may be late, so later connections may belong to the new process, whose answers go on.
            self.pools.pools[name].close_opened_before(start.earliest / NS_PER_S)
        self._update_pool(target)

    def _update_pool(self, target: Target) -> None:
        pool = self.pools.pools[target.member.server]
        pool.retired = False
        if not self._accepts_attempts(target):
            pool.retire()

    def _accepts_attempts(self, target: Target) -> bool:
        """Returns whether attempts may start at the server."""
        return target.member.state is api.State.READY and target.member.server not in self.excluded

    def _remove(self, name: str) -> None:
        self.targets.pop(name, None)
        self.pools.remove(name)
