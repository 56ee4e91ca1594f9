"""Operator overrides: cache servers that operators take out of service, whatever the list of servers says."""

import logging
import time
from collections.abc import Callable

from applehub import interface as api
from applehub.node.console import CallError
from applehub.node.discovery import Directory
from applehub.node.shared import Override, Shared

NS_PER_MS = 1_000_000
log = logging.getLogger("applehub")


class OperatorOverrides:
    """Applies overrides to the directory and the decisions; shares them with the router's other process."""

    def __init__(self, directory: Directory, tell: Callable[[api.ByHand], None], shared: Shared) -> None:
        """tell: passes an event to the decisions. shared: the file that all processes of the router read."""
        self.directory, self.tell, self.shared = directory, tell, shared
        self.overrides: dict[str, Override] = {}

    def offline(self, name: str) -> str:
        """Takes a cache server out of service; returns the console's answer.

        Raises CallError if no cache server has this id, or if the override cannot be written to the file.
        """
        return self._set(name, True)

    def online(self, name: str) -> str:
        """Puts a cache server back into service; returns and raises as `offline`."""
        return self._set(name, False)

    def look(self) -> None:
        """Applies overrides that another process has written since the last call."""
        overrides = self.shared.changed()
        if overrides is not None:
            self._apply(overrides)

    def _set(self, name: str, out: bool) -> str:
        self.look()  # the other process may have written an override for this server a moment ago
        known = self.overrides.get(name)
        is_out = known is not None and known.out
        if not is_out and not self.directory.is_cache(name):
            raise CallError("no such cache server")
        if out != is_out:
            try:
                self._apply(self.shared.say(name, out))
            except OSError as problem:
                raise CallError(f"the call can't be kept: {problem}") from None
        return "+OK"

    def _apply(self, overrides: dict[str, Override]) -> None:
        for name, override in overrides.items():
            if self.overrides.get(name) == override:
                continue
            self.overrides[name] = override
            log.info("server %s is %s by hand", name, "left out" if override.out else "put back")
            age = max(0, time.time_ns() - override.at * NS_PER_MS)
            since = max(1, time.monotonic_ns() - age)
            # The decisions may choose a server only while its connection pool is open. Closing the pool
            # returns attempts to them, so they must know by then that the server is out.
            if not override.out:
                self.directory.leave_out(name, False)
            self.tell(api.ByHand(name, override.out, since))
            if override.out:
                self.directory.leave_out(name, True)
