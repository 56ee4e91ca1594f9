"""Lease-based lock at the list service (endpoint discovery), which at most one controller of all folders and
machines holds.
"""

from http import HTTPStatus

import aiohttp

LOCK_NAME = "release"  # one lock for the fleet: effects of concurrent releases can't be distinguished
LEASE_S = 8.0
RENEW_BELOW_S = LEASE_S * 2 / 3  # remaining time below which the lease is renewed
SAFE_LEASE_FRACTION = 0.9  # fraction of a lease that is trusted, in case the list service's clock is faster
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class ControllerLock:
    """The lock of one controller. Without a list service the lock is always held, with fence 0."""

    def __init__(self, session: aiohttp.ClientSession, addresses: list[str], holder: str) -> None:
        """Takes the addresses of the list service's replicas and the id of this lock holder."""
        self.fence = 0  # fencing token, which increases with each lock holder
        self._session = session
        self._addresses = list(addresses)
        self._holder = holder
        self._lease_expires_at = 0.0

    async def acquire(self, now: float) -> bool:
        """Acquires or renews the lock. Returns whether the lease is valid at `now`, in monotonic seconds."""
        if not self._addresses or self._lease_expires_at - now > RENEW_BELOW_S:
            return True
        for address in list(self._addresses):
            if await self._request(address, now):
                break
        return self.held_at(now)

    def held_at(self, now: float) -> bool:
        """Returns whether the lease is valid at `now`, in monotonic seconds."""
        return not self._addresses or self._lease_expires_at > now

    async def release(self) -> None:
        """Releases the lock, so that the next controller need not wait until the lease expires."""
        for address in self._addresses:
            try:
                url = f"http://{address}/v1/locks/{LOCK_NAME}?holder={self._holder}"
                async with self._session.delete(url) as response:
                    if response.status == HTTPStatus.OK:
                        return
            except REQUEST_ERRORS:
                continue

    async def _request(self, address: str, now: float) -> bool:
        """Requests a lease that starts at `now`; returns whether the replica granted or denied it."""
        body = {"holder": self._holder, "lease_ms": int(LEASE_S * 1000)}
        try:
            async with self._session.put(f"http://{address}/v1/locks/{LOCK_NAME}", json=body) as response:
                status = response.status
                fields = await response.json()
                fence = int(fields["fence"]) if status == HTTPStatus.OK else 0
        except (*REQUEST_ERRORS, KeyError, TypeError):
            return False
        if status == HTTPStatus.OK:
            self.fence = fence
            self._lease_expires_at = now + LEASE_S * SAFE_LEASE_FRACTION
            self._addresses.remove(address)
            self._addresses.insert(0, address)  # the leader, which gets the next requests first
        return status in (HTTPStatus.OK, HTTPStatus.CONFLICT)
