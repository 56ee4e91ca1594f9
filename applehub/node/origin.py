"""Connections to the origin, which speaks HTTP/1.1."""

from collections.abc import Callable, Iterator
from urllib.parse import quote_from_bytes

from applehub.interface import Status
from applehub.node.call import AttemptResult, Exchange, read_load
from applehub.node.http1 import HttpClient, HttpError, HttpResponse
from applehub.node.memory_budget import LONG_VALUE_FRACTION, MemoryBudget
from applehub.node.pool import Connection, Pool
from applehub.node.resp import MAX_BUFFERED_VALUE, MAX_LONG_VALUE


def result_of(response: HttpResponse) -> AttemptResult:
    """Converts a response of the origin to the result of an attempt.

    A 503 or 504 counts as a rejection only if it has the header `x-rejected: 1`; otherwise a proxy may have
    sent it.
    """
    load = read_load(response.headers.get(b"x-load-report"))
    if response.status == 200:
        return AttemptResult(Status.OK, response.body, load=load)
    rejected = response.status in (503, 504) and response.headers.get(b"x-rejected") == b"1"
    return AttemptResult(Status.FULL if rejected else Status.ERROR, load=load)


class OriginConnection(Connection):
    """A connection to the origin."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self.http = HttpClient(
            f"{pool.endpoint[0]}:{pool.endpoint[1]}",
            MAX_BUFFERED_VALUE,
            self._start_stream,
            self._reserve_body,
        )
        self.memory: MemoryBudget | None = None  # accounts for a long body without a Content-Length
        self.reserved = 0  # bytes reserved for the long body

    def encode(self, exchange: Exchange) -> Iterator[bytes | memoryview]:
        call = exchange.call
        headers = [(b"X-Call-Id", call.id), (b"X-Call-Info", exchange.info())]
        target = f"/{quote_from_bytes(call.key, safe='')}".encode()
        yield from self.http.request(b"GET" if call.value is None else b"PUT", target, headers, call.value)

    @property
    def in_long_value(self) -> bool:
        return self.http.body_sink is not None

    @property
    def buffered_size(self) -> int:
        response = self.http.response
        return len(response.body) if response is not None and not self.reserved else 0

    def discard_buffers(self) -> None:
        """Drops what is buffered of a response, and releases its memory."""
        self.http.discard_response()
        self._release_memory()

    def _start_stream(self, size: int) -> Callable[[bytes], None] | None:
        stream = self.exchange.on_long_value(size, self) if self.exchange and size <= MAX_LONG_VALUE else None
        return stream.feed if stream is not None else None

    def _reserve_body(self, length: int) -> bool:
        """Reserves memory for a long body without a Content-Length; returns False if it must be aborted.

        Such a body is buffered completely, because RESP sends the length of a value first. It is aborted if
        it is too long, no memory is left or no client waits.
        """
        exchange = self.exchange
        if exchange is None or exchange.memory is None or length > MAX_LONG_VALUE:
            return False
        self.memory = exchange.memory
        if not self.memory.reserve(length - self.reserved, LONG_VALUE_FRACTION):
            return False
        self.reserved = length
        return True

    def _release_memory(self) -> None:
        if self.memory is not None:
            self.memory.release(self.reserved)
        self.memory, self.reserved = None, 0

    def read(self, data: bytes) -> None:
        try:
            response = self.http.receive(data)
        except HttpError:
            self.protocol_error()
            return
        if response is not None:
            self._release_memory()  # the client's connection counts the answer as soon as it is handed over
            self.finish(result_of(response), self.http.next_cycle())

    def eof_received(self) -> None:
        if self.exchange is not None:
            self.read(b"")  # the end of the stream may end a response
