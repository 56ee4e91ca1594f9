"""The operators' second address over loopback: calls, callers that say nothing, and the figures."""

import asyncio
import os
import socket
import sys

import orjson
import pytest
from peers import MISS, PATIENCE, info, router, soon

from applehub.node import console
from applehub.node.configuration import ConfigurationError, read_configuration
from applehub.node.console import CallError, Console
from applehub.node.listener import inherited_listener


def refuse(_: str) -> str:
    raise CallError("not ready")


async def call(port: int, sent: bytes) -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(sent)
    async with asyncio.timeout(PATIENCE):
        answer = await reader.read()
    writer.close()
    return answer.decode()


async def opened(**calls: console.Handler) -> tuple[Console, int]:
    served = Console({name.upper(): handler for name, handler in calls.items()})
    return served, (await served.listen("127.0.0.1", 0))[1]


@pytest.mark.parametrize("end", [b"\n", b"\r\n"])
async def test_a_call_gets_one_answer_and_a_close(end: bytes) -> None:
    served, port = await opened(health=refuse, offline=lambda name: f"+OK {name}")
    assert await call(port, b"OFFLINE s-1" + end) == "+OK s-1\n"
    assert await call(port, b"HEALTH" + end) == "-ERR not ready\n"
    assert await call(port, b"NONSENSE" + end) == "-ERR unknown call\n"
    assert await call(port, end) == "-ERR unknown call\n"
    served.close()


@pytest.mark.parametrize(
    ("sent", "answer"),
    [
        (b"HEALTH now\n", "-ERR HEALTH takes no argument\n"),
        (b"dump c0 c1\n", "-ERR DUMP takes no argument\n"),
        (b"OFFLINE\n", "-ERR OFFLINE needs the id of a cache server\n"),
        (b"ONLINE  \n", "-ERR ONLINE needs the id of a cache server\n"),
    ],
)
async def test_a_call_with_too_much_or_too_little_is_a_no(sent: bytes, answer: str) -> None:
    handlers = dict.fromkeys(("health", "dump", "offline", "online"), lambda _: "+OK")
    served, port = await opened(**handlers)
    assert await call(port, sent) == answer
    served.close()


def test_an_inherited_descriptor_that_listens_nowhere_is_told_apart(tmp_path: os.PathLike[str]) -> None:
    with socket.socket() as idle, socket.create_server(("127.0.0.1", 0)) as listener:
        with pytest.raises(OSError, match=f"descriptor {idle.fileno()} is a socket that listens nowhere"):
            inherited_listener(idle.fileno())
        assert idle.getsockname()  # it is left open
        with open(os.path.join(tmp_path, "file"), "wb") as file, pytest.raises(OSError, match="is no socket"):
            inherited_listener(file.fileno())
        assert inherited_listener(listener.fileno()).detach() == listener.fileno()


async def test_a_call_may_come_in_pieces() -> None:
    served, port = await opened(health=lambda _: "+OK")
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for piece in (b"HEA", b"LT", b"H\n"):
        writer.write(piece)
        await soon(lambda: not writer.transport.get_write_buffer_size())
        await asyncio.sleep(0)
    assert await reader.read() == b"+OK\n"
    writer.close()
    served.close()


async def test_a_fault_in_a_call_is_a_no_and_the_next_is_answered() -> None:
    served, port = await opened(dump=lambda _: str(1 // 0), health=lambda _: "+OK")
    assert await call(port, b"DUMP\n") == "-ERR the call failed\n"
    assert await call(port, b"HEALTH\n") == "+OK\n"
    served.close()


async def test_a_line_too_long_is_a_no() -> None:
    served, port = await opened()
    assert (await call(port, b"x" * (console.MOST_LINE + 1))).startswith("-ERR")
    served.close()


async def test_callers_that_say_nothing_do_not_keep_others_out() -> None:
    served, port = await opened(health=lambda _: "+OK")
    silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(console.MOST_CALLERS + 4)]
    assert await call(port, b"HEALTH\n") == "+OK\n"
    assert len(served.callers) < console.MOST_CALLERS + 1
    assert await silent[0][0].read() == b"-ERR too many callers\n"
    for _, writer in silent:
        writer.close()
    served.close()


async def test_a_caller_with_no_whole_call_is_told_so_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(console, "PROMPT", 0.05)
    served, port = await opened(health=lambda _: "+OK")
    assert await call(port, b"HEAL") == "-ERR no whole call in time\n"
    await soon(lambda: not served.callers)
    served.close()


async def test_figures_add_up() -> None:
    async with router(lambda asked, line: MISS if asked[1] == b"far" else None) as bench:
        bench.driver.room.most = 1024
        caller = await bench.caller()
        caller.get(b"far", b"i1")
        assert await caller.answer() == b"from origin"
        caller.send(b"C.SET", b"k", b"w1", b"c=put,t=acme,d=9000,k=77", bytes(2048))
        assert str(await caller.answer()) == "BUSY"
        caller.get(b"near", b"i2", b"c=once,t=acme,d=9000")
        await soon(lambda: len(bench.cache.got) == 2)
        bench.driver._overdue(bench.driver.held["i2"])
        assert str(await caller.answer()) == "ERR failed"
        caller.get(b"near", b"i3")
        await soon(lambda: len(bench.cache.got) == 3)
        told = dict(line.split("=") for line in bench.driver.figures.lines())
        counts = {name: int(told[f"edge_balancer.responses.{name}"]) for name in ("read.ok", "put.shed")}
        assert counts == {"read.ok": 1, "put.shed": 1}
        assert told["edge_balancer.responses.once.errors"] == "1"
        assert (bench.driver.active, bench.pools.written, bench.directory.size) == (1, 4, 1)


async def test_run_serves_on_an_inherited_listener_and_answers_operators(tmp_path: os.PathLike[str]) -> None:
    """A second process took the address itself and ended: the platform's socket held it."""
    listener = socket.create_server(("127.0.0.1", 0))
    path = os.path.join(tmp_path, "config.json")
    entry = {"uid": "c0", "endpoint": "127.0.0.1:9", "az": "a", "model": "std", "state": "Ready"}
    told = {
        "listen": f"127.0.0.1:{listener.getsockname()[1]}",
        "discovery": "127.0.0.1:9",
        "console": "127.0.0.1:0",
        "seed": "1",
        "known": {"rev": 1, "all": True, "targets": [entry]},
        "settings": info(),
    }
    with open(path, "wb") as file:
        file.write(orjson.dumps(told))
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
        async with asyncio.timeout(PATIENCE):
            assert await reader.readline() == b"+PONG\r\n"
        async with asyncio.timeout(PATIENCE):
            while b"operators call at" not in (line := await process.stderr.readline()):
                assert line
        port = int(line.rpartition(b":")[2])
        assert await call(port, b"HEALTH\n") == "+OK\n"
        dump = await call(port, b"DUMP\n")
        assert dump.startswith("+OK\n") and dump.endswith("\n.\n")
        assert "\nedge_balancer.pool_size=1\n" in dump and "\nedge_balancer.responses.read.ok=0\n" in dump
        process.terminate()
        async with asyncio.timeout(PATIENCE):
            assert await process.wait() == 0
        # Its own descriptor is closed, and the socket still lets clients in for the other process.
        with socket.create_connection(listener.getsockname()):
            pass
        writer.close()
    finally:
        if process.returncode is None:
            process.kill()
        listener.close()


@pytest.mark.parametrize("told", ["listener", "-1", "7.0"])
def test_a_descriptor_that_is_no_number_is_named(
    told: str, tmp_path: os.PathLike[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    path = os.path.join(tmp_path, "config.json")
    with open(path, "wb") as file:
        file.write(orjson.dumps({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": info()}))
    monkeypatch.setenv("BALANCER_INHERITED_FD", told)
    with pytest.raises(ConfigurationError, match=f"BALANCER_INHERITED_FD: expected .*, got '{told}'"):
        read_configuration(path)
