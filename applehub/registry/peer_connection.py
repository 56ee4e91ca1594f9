"""The connection to another replica, by which messages are sent to it."""

import asyncio
import logging

from applehub.node.discovery import read_endpoint

MAX_UNSENT = 8 << 20  # bytes for a peer that does not read; past them its messages are dropped
CONNECT_TIMEOUT = 1.0  # s
CONNECT_PAUSE = 0.1  # s between attempts to reach a peer
log = logging.getLogger("applehub.registry")


class PeerConnection:
    """Sends messages to another replica. Those that can't be sent at once are dropped, as the agreement
    allows."""

    def __init__(self, address: str) -> None:
        """address: HOST:PORT of the other replica."""
        self._address = read_endpoint(address)
        self._writer: asyncio.StreamWriter | None = None

    def send(self, line: bytes) -> None:
        """Sends a message, or drops it where the peer can't be reached or does not read."""
        writer = self._writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > MAX_UNSENT:
            writer.transport.abort()  # it stood still: what waits is out of date
            return
        writer.write(line)

    async def run(self) -> None:
        """Keeps a connection up until it is cancelled."""
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    reader, self._writer = await asyncio.open_connection(*self._address)
                await reader.read()  # peers answer on connections of their own: this ends with the connection
            except (OSError, TimeoutError) as problem:
                log.debug("no connection to the replica at %s: %s", self._address, problem)
            finally:
                if self._writer is not None:
                    self._writer.transport.abort()
                    self._writer = None
            await asyncio.sleep(CONNECT_PAUSE)
