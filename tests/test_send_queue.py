"""Queries of a socket's send queue."""

import asyncio
import os
import socket
from collections.abc import Iterator

import pytest

from applehub.node.send_queue import discard_on_close, unacknowledged_bytes, unsent_bytes

Pair = tuple[socket.socket, socket.socket]


@pytest.fixture
def pair() -> Iterator[Pair]:
    """Yields both ends of a TCP connection; the second end has a small receive buffer."""
    with socket.socket() as listener, socket.socket() as reader:
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        reader.connect(listener.getsockname())
        writer, _ = listener.accept()
        with writer:
            yield writer, reader


async def test_bytes_that_the_peer_does_not_read_are_reported_until_it_reads(pair: Pair) -> None:
    writer, reader = pair
    assert unacknowledged_bytes(writer) == unsent_bytes(writer) == 0
    writer.setblocking(False)
    size = writer.send(bytes(200_000))
    assert unacknowledged_bytes(writer) >= unsent_bytes(writer) > 0
    while size:
        size -= len(reader.recv(4096))
    async with asyncio.timeout(10):
        while unacknowledged_bytes(writer):
            await asyncio.sleep(0.001)
    assert unsent_bytes(writer) == 0


def test_close_discards_the_send_queue_and_resets_the_connection(pair: Pair) -> None:
    writer, reader = pair
    writer.setblocking(False)
    size = writer.send(bytes(200_000))
    discard_on_close(writer)
    writer.close()
    received = 0
    with pytest.raises(ConnectionResetError):
        while data := reader.recv(4096):
            received += len(data)
    assert received < size


def test_closed_socket_and_other_descriptor_report_an_empty_queue(pair: Pair) -> None:
    writer, _ = pair
    writer.close()
    assert unacknowledged_bytes(writer) == unsent_bytes(writer) == 0
    with open(os.devnull, "rb") as file:
        assert unacknowledged_bytes(file) == 0  # type: ignore[arg-type]
