"""One HTTP/1.1 exchange after another on a connection, without the sockets."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import h11

from applehub.node.stream import pieces_of


class HttpError(ValueError):
    """What came is no answer of HTTP/1.1, or larger than wanted."""


@dataclass(slots=True)
class Answer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytearray = field(default_factory=bytearray)


class Http:
    """The client's side of one connection."""

    __slots__ = ("answer", "connection", "grow", "host", "long", "most", "sink")

    def __init__(
        self,
        host: str,
        most: int,
        long: Callable[[int], Callable[[bytes], None] | None] | None = None,
        grow: Callable[[int], bool] = lambda length: False,
    ) -> None:
        # Called with the length of a body that is longer than what is held whole: where its pieces go.
        self.long = long
        # Called with the length so far of such a body that announces none: whether it may be held whole.
        self.grow = grow
        self.sink: Callable[[bytes], None] | None = None
        self.connection = h11.Connection(h11.CLIENT)
        self.host, self.most = host.encode(), most
        self.answer: Answer | None = None

    def request(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]] | None = None,
        body: bytes | bytearray | None = None,
    ) -> Iterator[bytes | memoryview]:
        """The bytes of a request, piece by piece."""
        all_headers = [(b"Host", self.host), *(headers or [])]
        if body is not None:
            all_headers.append((b"Content-Length", b"%d" % len(body)))
        head = self.connection.send(h11.Request(method=method, target=target, headers=all_headers)) or b""
        for piece in pieces_of(body or b""):
            # Passed through as it is, so that a long body is not copied; only its length counts here.
            self.connection.send_with_data_passthrough(h11.Data(data=piece))  # type: ignore[arg-type]
            yield b"".join((head, piece)) if head else piece
            head = b""
        self.connection.send(h11.EndOfMessage())
        if head:
            yield head

    def receive(self, data: bytes) -> Answer | None:
        """Takes in what came, nothing at the end of the stream; gives the answer once it is whole."""
        try:
            self.connection.receive_data(data)
            while True:
                event = self.connection.next_event()
                if isinstance(event, h11.Response):
                    self.answer = Answer(event.status_code, dict(event.headers))
                    self._open(self.answer)
                elif isinstance(event, h11.Data) and self.sink is not None:
                    self.sink(bytes(event.data))
                elif isinstance(event, h11.Data) and self.answer is not None:
                    self._hold(self.answer, event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return self.answer
                elif not isinstance(event, h11.InformationalResponse):
                    return None  # more is needed, or the stream has ended
        except h11.RemoteProtocolError as problem:
            raise HttpError(str(problem)) from None

    def _hold(self, answer: Answer, data: bytes) -> None:
        """Adds a piece to a body that is held whole; one that announces no length may grow long."""
        answer.body += data
        held, announced = len(answer.body), b"content-length" in answer.headers
        if held > self.most and (announced or answer.status != 200 or not self.grow(held)):
            raise HttpError("answer too large")

    def _open(self, answer: Answer) -> None:
        length = answer.headers.get(b"content-length", b"0")  # digits alone, as h11 has checked
        if self.long is None or answer.status != 200 or int(length) <= self.most:
            return
        self.sink = self.long(int(length))
        if self.sink is None:
            raise HttpError("answer too large, or nobody waits for it")

    def next_cycle(self) -> bool:
        """Makes ready for another request; whether the connection can carry one."""
        self.answer = self.sink = None
        if self.connection.trailing_data[0]:
            return False
        try:
            self.connection.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True
