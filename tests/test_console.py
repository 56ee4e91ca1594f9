"""The operators' console over loopback: commands, idle connections and metrics."""

import asyncio
import os
import socket
import sys

import orjson
import pytest
from router_bench import MISS, WAIT_TIMEOUT, info, router, wait_until

from applehub.node import console
from applehub.node.configuration import ConfigurationError, read_configuration
from applehub.node.console import CommandError, Console
from applehub.node.listener import inherited_listener


def report_not_ready(_: str) -> str:
    raise CommandError("not ready")


async def send_command(port: int, sent: bytes) -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(sent)
    async with asyncio.timeout(WAIT_TIMEOUT):
        answer = await reader.read()
    writer.close()
    return answer.decode()


async def start_console(**handlers: console.Handler) -> tuple[Console, int]:
    server = Console({name.upper(): handler for name, handler in handlers.items()})
    return server, (await server.listen("127.0.0.1", 0))[1]


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
async def test_command_is_answered_once_and_connection_closes(line_end: bytes) -> None:
    server, port = await start_console(health=report_not_ready, offline=lambda name: f"+OK {name}")
    assert await send_command(port, b"OFFLINE s-1" + line_end) == "+OK s-1\n"
    assert await send_command(port, b"HEALTH" + line_end) == "-ERR not ready\n"
    assert await send_command(port, b"NONSENSE" + line_end) == "-ERR unknown call\n"
    assert await send_command(port, line_end) == "-ERR unknown call\n"
    server.close()


@pytest.mark.parametrize(
    ("sent", "answer"),
    [
        (b"HEALTH now\n", "-ERR HEALTH takes no argument\n"),
        (b"dump c0 c1\n", "-ERR DUMP takes no argument\n"),
        (b"OFFLINE\n", "-ERR OFFLINE needs the id of a cache server\n"),
        (b"ONLINE  \n", "-ERR ONLINE needs the id of a cache server\n"),
    ],
)
async def test_wrong_number_of_arguments_is_rejected(sent: bytes, answer: str) -> None:
    handlers = dict.fromkeys(("health", "dump", "offline", "online"), lambda _: "+OK")
    server, port = await start_console(**handlers)
    assert await send_command(port, sent) == answer
    server.close()


def test_inherited_descriptor_that_does_not_listen_is_rejected(tmp_path: os.PathLike[str]) -> None:
    with socket.socket() as idle, socket.create_server(("127.0.0.1", 0)) as listener:
        with pytest.raises(OSError, match=f"descriptor {idle.fileno()} is not a listening socket"):
            inherited_listener(idle.fileno())
        assert idle.getsockname()  # the descriptor stays open
        with (
            open(os.path.join(tmp_path, "file"), "wb") as file,
            pytest.raises(OSError, match="is not a socket"),
        ):
            inherited_listener(file.fileno())
        assert inherited_listener(listener.fileno()).detach() == listener.fileno()


async def test_command_may_arrive_in_pieces() -> None:
    server, port = await start_console(health=lambda _: "+OK")
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in (b"HEA", b"LT", b"H\n"):
        writer.write(piece)
        await wait_until(lambda: not writer.transport.get_write_buffer_size())
        await asyncio.sleep(0)
    assert await reader.read() == b"+OK\n"
    writer.close()
    server.close()


async def test_exception_in_a_command_is_an_error_and_the_next_is_answered() -> None:
    server, port = await start_console(dump=lambda _: str(1 // 0), health=lambda _: "+OK")
    assert await send_command(port, b"DUMP\n") == "-ERR the call failed\n"
    assert await send_command(port, b"HEALTH\n") == "+OK\n"
    server.close()


async def test_too_long_line_is_rejected() -> None:
    server, port = await start_console()
    assert (await send_command(port, b"x" * (console.MAX_LINE_BYTES + 1))).startswith("-ERR")
    server.close()


async def test_idle_connections_do_not_block_others() -> None:
    server, port = await start_console(health=lambda _: "+OK")
    idle_connections = [
        await asyncio.open_connection("127.0.0.1", port) for _ in range(console.MAX_CONNECTIONS + 4)
    ]
    assert await send_command(port, b"HEALTH\n") == "+OK\n"
    assert len(server.connections) < console.MAX_CONNECTIONS + 1
    assert await idle_connections[0][0].read() == b"-ERR too many callers\n"
    for _, writer in idle_connections:
        writer.close()
    server.close()


async def test_incomplete_line_is_answered_after_the_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(console, "LINE_TIMEOUT", 0.05)
    server, port = await start_console(health=lambda _: "+OK")
    assert await send_command(port, b"HEAL") == "-ERR no whole call in time\n"
    await wait_until(lambda: not server.connections)
    server.close()


async def test_metrics_count_each_result() -> None:
    async with router(lambda command, writer: MISS if command[1] == b"far" else None) as bench:
        bench.driver.memory.limit = 1024
        client = await bench.caller()
        client.get(b"far", b"i1")
        assert await client.answer() == b"from origin"
        client.send(b"C.SET", b"k", b"w1", b"c=put,t=acme,d=9000,k=77", bytes(2048))
        assert str(await client.answer()) == "BUSY"
        client.get(b"near", b"i2", b"c=once,t=acme,d=9000")
        await wait_until(lambda: len(bench.cache.received) == 2)
        bench.driver._fail_overdue(bench.driver.requests["i2"])
        assert str(await client.answer()) == "ERR failed"
        client.get(b"near", b"i3")
        await wait_until(lambda: len(bench.cache.received) == 3)
        metrics = dict(line.split("=") for line in bench.driver.metrics.lines())
        counts = {name: int(metrics[f"edge_balancer.responses.{name}"]) for name in ("read.ok", "put.shed")}
        assert counts == {"read.ok": 1, "put.shed": 1}
        assert metrics["edge_balancer.responses.once.errors"] == "1"
        assert (bench.driver.active, bench.pools.attempts_written, bench.directory.cache_count) == (1, 4, 1)


async def test_process_serves_an_inherited_listener_and_the_console(tmp_path: os.PathLike[str]) -> None:
    """A process that has inherited a listener must not bind the address itself, since it is in use."""
    listener = socket.create_server(("127.0.0.1", 0))
    path = os.path.join(tmp_path, "config.json")
    target = {"uid": "c0", "endpoint": "127.0.0.1:9", "az": "a", "model": "std", "state": "Ready"}
    configuration = {
        "listen": f"127.0.0.1:{listener.getsockname()[1]}",
        "discovery": "127.0.0.1:9",
        "console": "127.0.0.1:0",
        "seed": "1",
        "known": {"rev": 1, "all": True, "targets": [target]},
        "settings": info(),
    }
    with open(path, "wb") as file:
        file.write(orjson.dumps(configuration))
    environment = {**os.environ, "BALANCER_CONFIG": path, "BALANCER_INHERITED_FD": str(listener.fileno())}
    environment.pop("BALANCER_CONSOLE", None)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "applehub",
        env=environment,
        pass_fds=[listener.fileno()],
        stderr=asyncio.subprocess.PIPE,
    )
    assert process.stderr is not None
    try:
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        async with asyncio.timeout(WAIT_TIMEOUT):
            assert await reader.readline() == b"+PONG\r\n"
        async with asyncio.timeout(WAIT_TIMEOUT):
            while b"console listening on" not in (line := await process.stderr.readline()):
                assert line
        port = int(line.rpartition(b":")[2])
        assert await send_command(port, b"HEALTH\n") == "+OK\n"
        dump_output = await send_command(port, b"DUMP\n")
        assert dump_output.startswith("+OK\n") and dump_output.endswith("\n.\n")
        assert (
            "\nedge_balancer.pool_size=1\n" in dump_output
            and "\nedge_balancer.responses.read.ok=0\n" in dump_output
        )
        process.terminate()
        async with asyncio.timeout(WAIT_TIMEOUT):
            assert await process.wait() == 0
        # The process has closed its descriptor; the socket still accepts clients for the next process.
        with socket.create_connection(listener.getsockname()):
            pass
        writer.close()
    finally:
        if process.returncode is None:
            process.kill()
        listener.close()


@pytest.mark.parametrize("value", ["listener", "-1", "7.0"])
def test_descriptor_that_is_not_a_number_is_rejected(
    value: str, tmp_path: os.PathLike[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    path = os.path.join(tmp_path, "config.json")
    with open(path, "wb") as file:
        file.write(orjson.dumps({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": info()}))
    monkeypatch.setenv("BALANCER_INHERITED_FD", value)
    with pytest.raises(ConfigurationError, match=f"BALANCER_INHERITED_FD: expected .*, got '{value}'"):
        read_configuration(path)
