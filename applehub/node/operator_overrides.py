"""Operator overrides: cache servers that operators take out of service, whatever the server list says.

A command answered with `+OK` is in effect and survives a restart of the process and a power loss. A command
answered with `-ERR` had no effect, unless the answer states that it is in effect but a power loss may undo
it; the sync to disk is then retried until it succeeds.
"""

import logging
import time
from collections.abc import Callable

from applehub import interface as api
from applehub.node.console import CommandError
from applehub.node.discovery import Directory
from applehub.node.override_file import Override, OverrideFileError
from applehub.node.shared_state import SharedState

SYNC_RETRY_INTERVAL = 1.0  # seconds; a sync blocks the event loop, so it is not retried at every poll
log = logging.getLogger("applehub")


class OperatorOverrides:
    """Applies overrides to the directory and the policy; shares them with the router's other process."""

    def __init__(
        self,
        directory: Directory,
        send_event: Callable[[api.ServerOverride], None],
        shared_state: SharedState,
    ) -> None:
        """send_event: passes an event to the policy. shared_state: contains the override file."""
        self.directory, self.send_event, self.file = directory, send_event, shared_state.override_file
        self.overrides: dict[str, Override] = {}
        self._read_failed = False  # whether the last poll failed to read the file
        self._sync_retry_at: float | None = None  # monotonic time in seconds; None if no sync is pending

    def offline(self, server: str) -> str:
        """Takes a cache server out of service; returns the console's answer.

        Raises CommandError if no cache server has this id, or if the override cannot be stored.
        """
        return self._set_override(server, True)

    def online(self, server: str) -> str:
        """Returns a cache server to service; returns and raises as `offline` does."""
        return self._set_override(server, False)

    def poll(self) -> None:
        """Applies overrides that another process has written since the last call, and retries a failed sync.

        Logs errors and raises no exception.
        """
        try:
            self._refresh()
        except (OSError, OverrideFileError) as error:
            if not self._read_failed:  # logs only the first of consecutive failures
                log.error("reading operator overrides failed: %s", error)
            self._read_failed = True
        else:
            self._read_failed = False
        if self._sync_retry_at is not None and time.monotonic() >= self._sync_retry_at:
            try:
                self._sync()
            except OSError:
                return  # `_sync` has scheduled the next retry
            log.info("operator overrides synced to disk again")

    def _refresh(self) -> None:
        """Applies the overrides of a changed file. Raises OSError, OverrideFileError."""
        overrides = self.file.read_if_changed()
        if overrides is not None:
            self._apply(overrides)

    def _set_override(self, server: str, offline: bool) -> str:
        """Sets the override of a server and syncs it; returns and raises as `offline` does."""
        is_damaged = False
        try:
            self._refresh()  # the other process may have just written an override for this server
        except OverrideFileError:
            is_damaged = True
        except OSError as error:
            raise CommandError(f"earlier calls can't be read, and this one had no effect: {error}") from None
        current = self.overrides.get(server)
        is_offline = current is not None and current.offline
        if not is_offline and not self.directory.is_cache(server):
            raise CommandError("no such cache server")
        if offline != is_offline or is_damaged:
            try:
                overrides = self.file.write(server, offline)
            except (OSError, OverrideFileError) as error:
                raise CommandError(f"the call can't be kept, and had no effect: {error}") from None
            self._apply(overrides)
        try:
            self._sync()
        except OSError as error:
            raise CommandError(f"the call is in effect, but a loss of power may undo it: {error}") from None
        return "+OK"

    def _sync(self) -> None:
        """Syncs the override file to disk. Raises OSError, after which `poll` retries."""
        is_first_failure, self._sync_retry_at = self._sync_retry_at is None, None
        try:
            self.file.sync()
        except OSError as error:
            if is_first_failure:  # logs only the first of consecutive failures
                log.error("syncing operator overrides failed, a power loss may undo them: %s", error)
            self._sync_retry_at = time.monotonic() + SYNC_RETRY_INTERVAL
            raise

    def _apply(self, overrides: dict[str, Override]) -> None:
        for server, override in overrides.items():
            if self.overrides.get(server) == override:
                continue
            self.overrides[server] = override
            log.info(
                "server %s %s by an operator",
                server,
                "taken out of service" if override.offline else "returned to service",
            )
            # The policy may choose a server only while its connection pool is open. Closing the pool reports
            # its attempts to the policy as failed, which by then must know that the server is out of service.
            if not override.offline:
                self.directory.set_excluded(server, False)
            self.send_event(api.ServerOverride(server, override.offline, max(1, override.accepted_ns)))
            if override.offline:
                self.directory.set_excluded(server, True)
