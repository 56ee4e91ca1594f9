"""The operators' console: a second listening address with one command line and one answer per connection."""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import cast

from applehub.node.accepting import Acceptor

MAX_CONNECTIONS = 16  # maximum connections without a complete line; above it the oldest is closed
BACKLOG = 100  # connections that wait to be accepted
# A connection whose line has arrived needs three ticks of the event loop to finish, so a burst of such
# connections never reaches MAX_CONNECTIONS.
MAX_ACCEPTS_PER_TICK = 4
MAX_LINE_BYTES = 512
LINE_TIMEOUT = 2.5  # seconds in which a connection must send its line
Handler = Callable[[str], str]
COMMANDS_WITHOUT_ARGUMENT = frozenset({"HEALTH", "DUMP", "PEERS"})  # the other commands take a server's id
log = logging.getLogger("applehub")


class CommandError(ValueError):
    """A command that is rejected; the text is the reason, sent to the operator after "-ERR"."""


class ConsoleConnection(asyncio.Protocol):
    """One connection of an operator: it sends a line, receives the answer, and is closed."""

    def __init__(self, console: "Console") -> None:
        self.console = console
        self.received = b""
        self.transport: asyncio.Transport | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.console.add(self)
        self.timeout_timer = asyncio.get_running_loop().call_later(
            LINE_TIMEOUT, self.finish, "-ERR no whole call in time"
        )

    def data_received(self, data: bytes) -> None:
        self.received += data
        line, newline, _ = self.received.partition(b"\n")
        if newline and len(line) <= MAX_LINE_BYTES:
            self.finish(self.console.execute(line))
        elif len(self.received) > MAX_LINE_BYTES:
            self.finish("-ERR the line is too long")

    def eof_received(self) -> bool:
        self.finish("-ERR no whole call")
        return True  # keeps the transport open until the answer is written

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.console.remove(self)
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()

    def finish(self, answer: str) -> None:
        """Sends the answer and closes the connection; later input is ignored."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(answer.encode() + b"\n")
            self.transport.close()
        self.console.remove(self)


class Console:
    """The console's listener and its commands.

    commands: handlers by the command's name in upper case; each takes the command's argument and returns the
    answer, or raises CommandError.
    """

    def __init__(self, commands: dict[str, Handler]) -> None:
        self.commands = commands
        self.connections: dict[ConsoleConnection, None] = {}  # without a complete line, oldest first
        self._acceptor: Acceptor | None = None

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Listens; returns the host, and the port, which the kernel chooses for port 0. Raises OSError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._acceptor = Acceptor(listener, lambda _: ConsoleConnection(self), MAX_ACCEPTS_PER_TICK)
        return self._acceptor.address

    def add(self, connection: ConsoleConnection) -> None:
        """Registers a connection; closes the oldest one if MAX_CONNECTIONS have sent no complete line.

        Idle connections therefore cannot lock an operator out.
        """
        if len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections)).finish("-ERR too many callers")
        self.connections[connection] = None

    def remove(self, connection: ConsoleConnection) -> None:
        """Unregisters a connection that was answered or closed."""
        self.connections.pop(connection, None)

    def execute(self, line: bytes) -> str:
        """Runs the command in a line; returns the answer, which starts with -ERR if the command fails."""
        name, _, argument = line.decode("latin-1").strip().partition(" ")
        handler = self.commands.get(name.upper())
        if handler is None:
            return "-ERR unknown call"
        argument = argument.strip()
        if bool(argument) is (name.upper() in COMMANDS_WITHOUT_ARGUMENT):
            usage = "takes no argument" if argument else "needs the id of a cache server"
            return f"-ERR {name.upper()} {usage}"
        try:
            return handler(argument)
        except CommandError as error:
            return f"-ERR {error}"
        except Exception:
            log.exception("console command failed: %s", name)
            return "-ERR the call failed"

    def close(self) -> None:
        """Stops listening, and answers every open connection that the router is shutting down."""
        if self._acceptor is not None:
            self._acceptor.close()
        for connection in list(self.connections):
            connection.finish("-ERR the router ends")
