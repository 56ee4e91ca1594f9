"""Divides the processing of commands between the client connections.

One read can bring thousands of short commands. While they are processed, no socket is polled and no timer
fires, so the commands of all connections in one event loop tick are limited. The connections whose commands
exceed the limit wait in a queue and take turns in the next ticks.
"""

import asyncio
from typing import Protocol

from applehub.node.arrivals import TimedSelector

COMMANDS_PER_TICK = 64  # maximum commands of all connections in one event loop tick
COMMANDS_PER_TURN = 8  # maximum commands of a waiting connection when its turn comes


class WaitingConnection(Protocol):
    """A connection with received commands that it has not processed."""

    def advance(self) -> None:
        """Processes commands, as far as `CommandTurns.admit` allows."""


class CommandTurns:
    """Admits commands for processing, and queues the connections whose commands have to wait."""

    def __init__(self, selector: TimedSelector) -> None:
        """selector: that of the running event loop, which counts its ticks."""
        self._selector = selector
        self._waiting: dict[WaitingConnection, None] = {}  # longest waiting first
        self._tick = -1
        self._left_in_tick = self._left_in_turn = 0  # commands
        self._scheduled = False

    def is_waiting(self, connection: WaitingConnection) -> bool:
        """Returns whether a connection waits for its turn."""
        return connection in self._waiting

    def admit(self, connection: WaitingConnection) -> bool:
        """Returns whether a connection may process one more command; if not, it waits for its turn."""
        self._renew()
        if connection in self._waiting:
            return False
        if not self._left_in_tick or not self._left_in_turn:
            self._waiting[connection] = None
            self._schedule()
            return False
        self._left_in_tick -= 1
        self._left_in_turn -= 1
        return True

    def discard(self, connection: WaitingConnection) -> None:
        """Removes a connection that processes no further command from the queue."""
        self._waiting.pop(connection, None)

    def _renew(self) -> None:
        """Restores the limits at the first use in a tick."""
        if self._tick != self._selector.poll_count:
            self._tick = self._selector.poll_count
            self._left_in_tick = self._left_in_turn = COMMANDS_PER_TICK

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._take_turns)

    def _take_turns(self) -> None:
        """Lets the waiting connections process commands, each at most once in a tick."""
        self._scheduled = False
        self._renew()
        try:
            for connection in list(self._waiting):
                if not self._left_in_tick:
                    break
                self._take_turn(connection)
        finally:
            self._left_in_turn = COMMANDS_PER_TICK
            if self._waiting:
                self._schedule()

    def _take_turn(self, connection: WaitingConnection) -> None:
        if connection in self._waiting:  # an earlier turn may have ended it
            del self._waiting[connection]
            self._left_in_turn = COMMANDS_PER_TURN
            connection.advance()
