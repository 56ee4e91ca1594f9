"""Periodic removal of servers with expired leases from the list, by the leader only."""

import asyncio
import logging
import time

from applehub.events import EventKind, EventWriter
from applehub.registry.commands import RemoveSuspects, SetSuspect
from applehub.registry.config import Leases
from applehub.registry.errors import NotLeaseHolderError
from applehub.registry.host import Host
from applehub.registry.server_leases import ServerLeases

log = logging.getLogger("applehub.registry")


class LeaseWatch:
    """Checks the leases of servers periodically."""

    def __init__(self, config: Leases, host: Host, events: EventWriter) -> None:
        """Creates the watch; `run` starts the checks."""
        self.leases = ServerLeases(config.brake_part, config.brake_least)
        self._config = config
        self._host = host
        self._events = events
        self._was_lease_holder = False

    def update_config(self, config: Leases) -> None:
        """Applies a new configuration."""
        self._config = config
        self.leases.pause_fraction = config.brake_part
        self.leases.pause_minimum = config.brake_least

    async def run(self) -> None:
        """Runs until it is cancelled."""
        while True:
            await asyncio.sleep(self._config.look_ms / 1000)
            now = time.monotonic_ns()
            is_lease_holder = self._host.is_lease_holder()
            if is_lease_holder is not self._was_lease_holder:
                self._was_lease_holder = is_lease_holder
                event = EventKind.LEADERSHIP_WON if is_lease_holder else EventKind.LEADERSHIP_LOST
                self._events.write(event, term=self._host.replica.term)
                if is_lease_holder:
                    self.leases.reset(now, self._host.endpoints.entries)
            if is_lease_holder:
                await self._check(now)

    async def _check(self, now: int) -> None:
        was_paused = self.leases.expiry_paused
        suspect, gone, recovered = self.leases.check(now, self._host.endpoints.entries)
        if self.leases.expiry_paused is not was_paused:
            self._events.write(EventKind.EXPIRY_PAUSED, on=self.leases.expiry_paused)
        try:
            if suspect:
                await self._host.propose(SetSuspect(on=True, uids=tuple(suspect)))
            if recovered:
                await self._host.propose(SetSuspect(on=False, uids=tuple(recovered)))
            if gone:
                await self._host.propose(RemoveSuspects(uids=tuple(gone)))
        except NotLeaseHolderError as error:
            log.warning("lease changes not committed; the next leader checks the leases again: %s", error)
