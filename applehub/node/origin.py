"""Connections to the origin: HTTP/1.1."""

from collections.abc import Callable, Iterator
from urllib.parse import quote_from_bytes

from applehub.interface import Status
from applehub.node.call import Ending, Exchange, read_load
from applehub.node.http1 import Answer, Http, HttpError
from applehub.node.memory_budget import LONG_PART, MemoryBudget
from applehub.node.pool import Connection, Pool
from applehub.node.resp import MOST_LONG, MOST_VALUE


def ending_of(answer: Answer) -> Ending:
    """What the origin's answer says. A 503 or 504 proves nothing unless the origin itself says so."""
    load = read_load(answer.headers.get(b"x-load-report"))
    if answer.status == 200:
        return Ending(Status.OK, answer.body, load=load)
    rejected = answer.status in (503, 504) and answer.headers.get(b"x-rejected") == b"1"
    return Ending(Status.FULL if rejected else Status.ERROR, load=load)


class OriginConnection(Connection):
    """A connection to the origin."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool)
        self.http = Http(f"{pool.endpoint[0]}:{pool.endpoint[1]}", MOST_VALUE, self._open, self._grow)
        self.room: MemoryBudget | None = None  # where a long body is counted that announces no length
        self.counted = 0  # bytes of it

    def encode(self, exchange: Exchange) -> Iterator[bytes | memoryview]:
        call = exchange.call
        headers = [(b"X-Call-Id", call.id), (b"X-Call-Info", exchange.info())]
        target = f"/{quote_from_bytes(call.key, safe='')}".encode()
        yield from self.http.request(b"GET" if call.value is None else b"PUT", target, headers, call.value)

    def _open(self, size: int) -> Callable[[bytes], None] | None:
        stream = self.exchange.opened(size, self) if self.exchange and size <= MOST_LONG else None
        return stream.feed if stream is not None else None

    def _grow(self, length: int) -> bool:
        """Counts a body that announces no length and is long already. RESP tells a value's length first, so
        it is held until its end. Guards memory: where there is no room, or nobody waits, it ends here."""
        exchange = self.exchange
        if exchange is None or exchange.room is None or length > MOST_LONG:
            return False
        self.room = exchange.room
        if not self.room.reserve(length - self.counted, LONG_PART):
            return False
        self.counted = length
        return True

    def _uncount(self) -> None:
        if self.room is not None:
            self.room.free(self.counted)
        self.room, self.counted = None, 0

    def finish(self, ending: Ending, reusable: bool = True) -> None:
        super().finish(ending, reusable)
        self._uncount()  # its answer is the client's, and counted there

    def close(self) -> None:
        super().close()
        self._uncount()

    def lost(self, problem: Exception | None = None) -> None:
        super().lost(problem)
        self._uncount()

    def read(self, data: bytes) -> None:
        try:
            answer = self.http.receive(data)
        except HttpError:
            self.spoil()
            return
        if answer is not None:
            self.finish(ending_of(answer), self.http.next_cycle())

    def eof_received(self) -> None:
        if self.exchange is not None:
            self.read(b"")  # the end of the stream may be the end of an answer
