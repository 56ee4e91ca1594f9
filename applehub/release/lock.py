"""The controllers' lock at the list service: at most one controller sends orders, over all folders and
machines.
"""

from http import HTTPStatus

import aiohttp

NAME = "release"  # one for the fleet: two releases at once would be two causes for one effect
LEASE_S = 8.0
RENEW_BELOW_S = LEASE_S * 2 / 3  # of the lease left
TRUSTED_PART = 0.9  # of the lease, since the service's clock may run faster
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class ControllerLock:
    """The lock as one controller holds it. Where no list service is named it is always held, with fence 0."""

    def __init__(self, session: aiohttp.ClientSession, addresses: list[str], holder: str) -> None:
        """addresses: of the list service's replicas. holder: by which the service knows this controller."""
        self.fence = 0  # grows from holder to holder
        self._session = session
        self._addresses = list(addresses)
        self._holder = holder
        self._held_until = 0.0

    async def acquire(self, now: float) -> bool:
        """Acquires or renews the lock; whether it is held. now: reading of the clock that never steps."""
        if not self._addresses or self._held_until - now > RENEW_BELOW_S:
            return True
        for address in list(self._addresses):
            if await self._request(address, now):
                break
        return self.held_at(now)

    def held_at(self, now: float) -> bool:
        """Whether the lease covers a moment."""
        return not self._addresses or self._held_until > now

    async def release(self) -> None:
        """Gives the lock up, so that the next controller does not wait for the lease to end."""
        for address in self._addresses:
            try:
                url = f"http://{address}/v1/locks/{NAME}?holder={self._holder}"
                async with self._session.delete(url) as response:
                    if response.status == HTTPStatus.OK:
                        return
            except REQUEST_ERRORS:
                continue

    async def _request(self, address: str, now: float) -> bool:
        """Asks one replica; whether it decided. The lease counts from before it was asked."""
        body = {"holder": self._holder, "lease_ms": int(LEASE_S * 1000)}
        try:
            async with self._session.put(f"http://{address}/v1/locks/{NAME}", json=body) as response:
                status = response.status
                fields = await response.json()
                fence = int(fields["fence"]) if status == HTTPStatus.OK else 0
        except (*REQUEST_ERRORS, KeyError, TypeError):
            return False
        if status == HTTPStatus.OK:
            self.fence = fence
            self._held_until = now + LEASE_S * TRUSTED_PART
            self._addresses.remove(address)
            self._addresses.insert(0, address)  # the leader, asked first from now on
        return status in (HTTPStatus.OK, HTTPStatus.CONFLICT)
