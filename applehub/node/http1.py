"""HTTP/1.1 client protocol for a sequence of requests on one connection, without I/O."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import h11

from applehub.node.stream import chunks_of


class HttpError(ValueError):
    """The response is invalid or too large."""


@dataclass(slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytearray = field(default_factory=bytearray)


class HttpClient:
    """The client side of one connection.

    host: value of the Host header.
    max_body: maximum length in bytes of a body that is buffered completely.
    on_long_body: called with the length in bytes of a longer body once its first byte has come; returns the
    function that receives its pieces, or None to abort the response.
    may_buffer_long: called with the number of received bytes of a longer body without a Content-Length;
    returns whether the body may be buffered completely.
    """

    __slots__ = (
        "body_sink", "connection", "host", "long_length", "max_body", "may_buffer_long", "on_long_body",
        "response",
    )  # fmt: skip

    def __init__(
        self,
        host: str,
        max_body: int,
        on_long_body: Callable[[int], Callable[[bytes], None] | None] | None = None,
        may_buffer_long: Callable[[int], bool] = lambda length: False,
    ) -> None:
        self.on_long_body = on_long_body
        self.may_buffer_long = may_buffer_long
        self.body_sink: Callable[[bytes], None] | None = None
        self.long_length = 0  # length in bytes of an announced long body that has not begun
        self.connection = h11.Connection(h11.CLIENT)
        self.host, self.max_body = host.encode(), max_body
        self.response: HttpResponse | None = None

    def request(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]] | None = None,
        body: bytes | bytearray | None = None,
    ) -> Iterator[bytes | memoryview]:
        """Yields the bytes of a request, piece by piece."""
        all_headers = [(b"Host", self.host), *(headers or [])]
        if body is not None:
            all_headers.append((b"Content-Length", b"%d" % len(body)))
        head = self.connection.send(h11.Request(method=method, target=target, headers=all_headers)) or b""
        for piece in chunks_of(body or b""):
            # The piece itself is written, so that a long body is not copied; h11 only counts its length.
            self.connection.send_with_data_passthrough(h11.Data(data=piece))  # type: ignore[arg-type]
            yield b"".join((head, piece)) if head else piece
            head = b""
        self.connection.send(h11.EndOfMessage())
        if head:
            yield head

    def receive(self, data: bytes) -> HttpResponse | None:
        """Processes received data; returns the response once it is complete.

        data: empty at the end of the stream. Raises HttpError.
        """
        try:
            self.connection.receive_data(data)
            while True:
                event = self.connection.next_event()
                if isinstance(event, h11.Response):
                    self.response = HttpResponse(event.status_code, dict(event.headers))
                    self.long_length = self._long_length_of(self.response)
                elif isinstance(event, h11.Data) and self.response is not None:
                    self._receive_body(self.response, event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return self.response
                elif not isinstance(event, h11.InformationalResponse):
                    return None  # the response is incomplete, or the stream has ended
        except h11.RemoteProtocolError as error:
            raise HttpError(str(error)) from None

    def _receive_body(self, response: HttpResponse, data: bytes) -> None:
        """Passes a piece of the body on or buffers it; raises HttpError if the body is too large."""
        if self.long_length and self.on_long_body is not None:
            self.body_sink = self.on_long_body(self.long_length)
            if self.body_sink is None:
                raise HttpError("response body is too large, or no client waits for it")
            self.long_length = 0
        if self.body_sink is not None:
            self.body_sink(bytes(data))
            return
        response.body += data
        buffered, has_length = len(response.body), b"content-length" in response.headers
        if buffered > self.max_body and (
            has_length or response.status != 200 or not self.may_buffer_long(buffered)
        ):
            raise HttpError("response body is too large")

    def _long_length_of(self, response: HttpResponse) -> int:
        """Returns the announced length of a body that is passed on in pieces, 0 for any other body."""
        length = int(response.headers.get(b"content-length", b"0"))  # h11 has checked that it is a number
        is_long = self.on_long_body is not None and response.status == 200 and length > self.max_body
        return length if is_long else 0

    def discard_response(self) -> None:
        """Drops what was received of a response."""
        self.response, self.body_sink, self.long_length = None, None, 0

    def next_cycle(self) -> bool:
        """Prepares for the next request; returns whether the connection can carry one."""
        self.discard_response()
        if self.connection.trailing_data[0]:
            return False
        try:
            self.connection.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True
