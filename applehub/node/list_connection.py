"""An HTTP/1.1 connection to discovery."""

import asyncio
from typing import cast

from applehub.node.http1 import HttpClient, HttpError, HttpResponse

MAX_RESPONSE_BYTES = 8 << 20


class ListConnection(asyncio.Protocol):
    """A connection to discovery, which carries one request at a time."""

    def __init__(self, host: str) -> None:
        self.http = HttpClient(host, MAX_RESPONSE_BYTES)
        self.transport: asyncio.Transport | None = None
        self.response: asyncio.Future[HttpResponse] | None = None

    @property
    def open(self) -> bool:
        """Whether another request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.response is None or self.response.done():
            self.close()
            return
        try:
            response = self.http.receive(data)
        except HttpError as error:
            self.response.set_exception(error)
            return
        if response is not None:
            self.response.set_result(response)

    def eof_received(self) -> None:
        if self.response is not None and not self.response.done():
            self.data_received(b"")

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.response is not None and not self.response.done():
            self.response.set_exception(ConnectionResetError("discovery closed the connection"))

    async def get(self, target: str) -> HttpResponse:
        """Sends a GET request and returns the response; has no timeout.

        Raises HttpError if the response is invalid, OSError if the connection ends before it.
        """
        if self.transport is None:
            raise ConnectionResetError("discovery closed the connection")
        self.response = asyncio.get_running_loop().create_future()
        self.transport.writelines(self.http.request(b"GET", target.encode()))
        response = await self.response
        if not self.http.next_cycle():
            self.close()
        return response

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()
            self.transport = None
