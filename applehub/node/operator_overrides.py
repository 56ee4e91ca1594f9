"""Operator overrides: cache servers that operators take out of service, whatever the list of servers says.

What an answer to a call means: `+OK` that it is in effect and outlives the process and a loss of power;
`-ERR` that nothing took effect, or, where the answer says so, that it is in effect and only a loss of power
may undo it. That is then tried again until the disk takes it.
"""

import logging
import time
from collections.abc import Callable

from applehub import interface as api
from applehub.node.console import CallError
from applehub.node.discovery import Directory
from applehub.node.override_file import Override, OverrideFileError
from applehub.node.shared_state import Shared

SYNCHRONISE_AGAIN = 1.0  # s between two tries to synchronise: each may hold up the event loop
log = logging.getLogger("applehub")


class OperatorOverrides:
    """Applies overrides to the directory and the decisions; shares them with the router's other process."""

    def __init__(self, directory: Directory, tell: Callable[[api.ByHand], None], shared: Shared) -> None:
        """tell: passes an event to the decisions. shared: the file that all processes of the router read."""
        self.directory, self.tell, self.file = directory, tell, shared.override_file
        self.overrides: dict[str, Override] = {}
        self._unreadable = False  # the file could not be read at the last look, which was logged
        self._synchronise_at: float | None = None  # when to try again (monotonic, s); None: nothing is owed

    def offline(self, name: str) -> str:
        """Takes a cache server out of service; returns the console's answer.

        Raises CallError if no cache server has this id, or if the override cannot be written to the file.
        """
        return self._set(name, True)

    def online(self, name: str) -> str:
        """Puts a cache server back into service; returns and raises as `offline`."""
        return self._set(name, False)

    def look(self) -> None:
        """Applies overrides that another process has written since the last call; raises nothing.

        Synchronises as well what a disk refused to.
        """
        try:
            self._refresh()
        except (OSError, OverrideFileError) as problem:
            if not self._unreadable:  # one line until it can be read again
                log.error("what operators said can't be read: %s", problem)
            self._unreadable = True
        else:
            self._unreadable = False
        if self._synchronise_at is not None and time.monotonic() >= self._synchronise_at:
            try:
                self._synchronise()
            except OSError:
                return  # tried again: `_synchronise` has planned it
            log.info("what operators said outlives a loss of power again")

    def _refresh(self) -> None:
        """Applies what is new in the file. Raises OSError, OverrideFileError."""
        overrides = self.file.changed()
        if overrides is not None:
            self._apply(overrides)

    def _set(self, name: str, out: bool) -> str:
        damaged = False
        try:
            self._refresh()  # the other process may have written an override for this server a moment ago
        except OverrideFileError:
            damaged = True
        except OSError as problem:
            raise CallError(f"earlier calls can't be read, and this one had no effect: {problem}") from None
        known = self.overrides.get(name)
        is_out = known is not None and known.out
        if not is_out and not self.directory.is_cache(name):
            raise CallError("no such cache server")
        if out != is_out or damaged:
            try:
                overrides = self.file.write(name, out)
            except (OSError, OverrideFileError) as problem:
                raise CallError(f"the call can't be kept, and had no effect: {problem}") from None
            self._apply(overrides)
        try:
            self._synchronise()
        except OSError as problem:
            raise CallError(f"the call is in effect, but a loss of power may undo it: {problem}") from None
        return "+OK"

    def _synchronise(self) -> None:
        """Raises OSError: then `look` tries again."""
        first, self._synchronise_at = self._synchronise_at is None, None
        try:
            self.file.synchronise()
        except OSError as problem:
            if first:  # one line until it succeeds
                log.error("what operators said may not outlive a loss of power: %s", problem)
            self._synchronise_at = time.monotonic() + SYNCHRONISE_AGAIN
            raise

    def _apply(self, overrides: dict[str, Override]) -> None:
        for name, override in overrides.items():
            if self.overrides.get(name) == override:
                continue
            self.overrides[name] = override
            log.info("server %s is %s by hand", name, "left out" if override.out else "put back")
            # The decisions may choose a server only while its connection pool is open. Closing the pool
            # returns attempts to them, so they must know by then that the server is out.
            if not override.out:
                self.directory.leave_out(name, False)
            self.tell(api.ByHand(name, override.out, max(1, override.made)))
            if override.out:
                self.directory.leave_out(name, True)
