"""The operators' console: a second listening address with one command line and one answer per connection."""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import cast

from applehub.node.accepting import Acceptor

MOST_CALLERS = 16  # connections without a complete line at once; past that the oldest is closed
BACKLOG = 100  # connections that wait to be accepted
# Connections accepted in one turn of the event loop. Each takes three turns where its line has come with it:
# those of a burst never make MOST_CALLERS together.
MOST_ACCEPTED = 4
MOST_LINE = 512  # bytes of a command line
PROMPT = 2.5  # s in which a connection must send its line
Handler = Callable[[str], str]
ALONE = frozenset({"HEALTH", "DUMP", "PEERS"})  # commands without an argument; others take a server's id
log = logging.getLogger("applehub")


class CallError(ValueError):
    """A command that is refused; the text is the reason, sent to the operator after "-ERR"."""


class Caller(asyncio.Protocol):
    """One connection of an operator: it sends a line, gets the answer, and is closed."""

    def __init__(self, console: "Console") -> None:
        self.console = console
        self.line = b""
        self.transport: asyncio.Transport | None = None
        self.late: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.console.enter(self)
        self.late = asyncio.get_running_loop().call_later(PROMPT, self.end, "-ERR no whole call in time")

    def data_received(self, data: bytes) -> None:
        self.line += data
        line, ended, _ = self.line.partition(b"\n")
        if ended and len(line) <= MOST_LINE:
            self.end(self.console.answer(line))
        elif len(self.line) > MOST_LINE:
            self.end("-ERR the line is too long")

    def eof_received(self) -> bool:
        self.end("-ERR no whole call")
        return True  # closed once the answer is out

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.console.leave(self)
        if self.late is not None:
            self.late.cancel()

    def end(self, answer: str) -> None:
        """Sends the answer and closes the connection; input after that is ignored."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(answer.encode() + b"\n")
            self.transport.close()
        self.console.leave(self)


class Console:
    """The listener and its commands.

    calls: functions by the command's name in upper case; each takes the command's argument and returns the
    answer, or raises CallError.
    """

    def __init__(self, calls: dict[str, Handler]) -> None:
        self.calls = calls
        self.callers: dict[Caller, None] = {}  # connections without a complete line, oldest first
        self._acceptor: Acceptor | None = None

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Listens; returns the address, with the port that was chosen for port 0. Raises OSError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._acceptor = Acceptor(listener, lambda _: Caller(self), MOST_ACCEPTED)
        return self._acceptor.address

    def enter(self, caller: Caller) -> None:
        """Admits a connection; if MOST_CALLERS have sent no complete line, the oldest of them is closed.

        So connections that send nothing never keep an operator out.
        """
        if len(self.callers) >= MOST_CALLERS:
            next(iter(self.callers)).end("-ERR too many callers")
        self.callers[caller] = None

    def leave(self, caller: Caller) -> None:
        """Counts a connection no more: its line is answered, or it is closed."""
        self.callers.pop(caller, None)

    def answer(self, line: bytes) -> str:
        """Runs the command of a line; returns the answer, an -ERR line if it fails."""
        word, _, rest = line.decode("latin-1").strip().partition(" ")
        call = self.calls.get(word.upper())
        if call is None:
            return "-ERR unknown call"
        rest = rest.strip()
        if bool(rest) is (word.upper() in ALONE):
            needs = "takes no argument" if rest else "needs the id of a cache server"
            return f"-ERR {word.upper()} {needs}"
        try:
            return call(rest)
        except CallError as problem:
            return f"-ERR {problem}"
        except Exception:
            log.exception("a call could not be carried out: %s", word)
            return "-ERR the call failed"

    def close(self) -> None:
        """Stops listening, and answers all open connections that the router ends."""
        if self._acceptor is not None:
            self._acceptor.close()
        for caller in list(self.callers):
            caller.end("-ERR the router ends")
