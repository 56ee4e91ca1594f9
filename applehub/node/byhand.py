"""Cache servers that operators left out: their calls, and what the other process was told of them."""

import logging
from collections.abc import Callable

from applehub import interface as api
from applehub.node.console import CallError
from applehub.node.discovery import Directory
from applehub.node.shared import Shared, Told

log = logging.getLogger("applehub")


class ByHand:
    """Carries calls to the list, to the decisions and, through the shared file, to the other process."""

    def __init__(self, directory: Directory, tell: Callable[[api.ByHand], None], shared: Shared) -> None:
        self.directory, self.tell, self.shared = directory, tell, shared
        self.told: dict[str, Told] = {}

    def offline(self, name: str) -> str:
        return self._say(name, True)

    def online(self, name: str) -> str:
        return self._say(name, False)

    def look(self) -> None:
        """Takes up what the other process was told, or the one before this."""
        told = self.shared.changed()
        if told is not None:
            self._take(told)

    def _say(self, name: str, out: bool) -> str:
        self.look()  # what the other process was told a moment ago counts
        known = self.told.get(name)
        is_out = known is not None and known.out
        if not is_out and not self.directory.is_cache(name):
            raise CallError("no such cache server")
        if out != is_out:
            try:
                self._take(self.shared.say(name, out))
            except OSError as problem:
                raise CallError(f"the call can't be kept: {problem}") from None
        return "+OK"

    def _take(self, told: dict[str, Told]) -> None:
        for name, one in told.items():
            if self.told.get(name) == one:
                continue
            self.told[name] = one
            log.info("server %s is %s by hand", name, "left out" if one.out else "put back")
            since = max(1, one.at * 1_000_000 - self.directory.origin_of_time)
            # The decisions send there only while the pool is open, and know before it hands attempts back.
            if not one.out:
                self.directory.leave_out(name, False)
            self.tell(api.ByHand(name, one.out, since))
            if one.out:
                self.directory.leave_out(name, True)
