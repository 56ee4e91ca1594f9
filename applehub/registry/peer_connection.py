"""The outgoing connection to another replica."""

import asyncio
import logging

from applehub.node.discovery import read_endpoint

MAX_UNSENT = 8 << 20  # bytes buffered for a peer, above which the connection is reset
CONNECT_TIMEOUT = 1.0  # seconds for one connection attempt
RECONNECT_DELAY = 0.1  # seconds between connection attempts
log = logging.getLogger("applehub.registry")


class PeerConnection:
    """Sends messages to another replica.

    Messages are dropped while the peer is not connected or does not read, which Raft tolerates."""

    def __init__(self, address: str) -> None:
        """address: HOST:PORT of the other replica."""
        self._address = read_endpoint(address)
        self._writer: asyncio.StreamWriter | None = None

    def send(self, line: bytes) -> None:
        """Sends an encoded message, or drops it if the peer is not connected or does not read."""
        writer = self._writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > MAX_UNSENT:
            writer.transport.abort()  # the peer has stalled and the buffered messages are outdated
            return
        writer.write(line)

    async def run(self) -> None:
        """Connects and reconnects until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    reader, self._writer = await asyncio.open_connection(*self._address)
                # Peers send on connections of their own, so this read returns when the connection ends.
                await reader.read()
            except (OSError, TimeoutError) as error:
                log.debug("connection to the replica at %s failed: %s", self._address, error)
            finally:
                if self._writer is not None:
                    self._writer.transport.abort()
                    self._writer = None
            await asyncio.sleep(RECONNECT_DELAY)
