"""Tests of the encoding of controller and agent messages, and of the handling of malformed ones."""

from pathlib import Path

import pytest
from aiohttp import web
from release_support import FakeClock, make_plan, running_controller

from applehub.release.errors import MessageError
from applehub.release.messages import AgentStatus, LoadReport, OrderMessage, OrderOutcome, UnitStatus
from applehub.release.state_machine import Order, ReleaseMode, Step

ORDER = b'{"release":"r","fence":3,"unit":"u0","step":"drain","version":"1.8","number":7}'
STATUS = (
    b'{"fence":3,"units":{"u0":{"order":{"release":"r","number":7,"good":null,"why":""},"figures":null},'
    b'"u1":{"order":{},"figures":{"life":2.0,"requests":5.0}}}}'
)
MALFORMED_STATUSES = [
    b"",
    b"[]",
    b'{"units":[]}',
    b'{"units":{"u0":{"figures":null}}}',
    b'{"units":{"u0":{"order":{"release":"r","number":"7","good":true,"why":""},"figures":null}}}',
    b'{"units":{"u0":{"order":{"release":"r","number":7,"good":"yes","why":""},"figures":null}}}',
    b'{"units":{"u0":{"order":{},"figures":{"requests":"many"}}}}',
    b'{"units":{"u0":{"order":{},"figures":[1]}}}',
]


def test_messages_encode_to_the_json_of_the_previous_version() -> None:
    """Both message types round-trip to a fixed JSON encoding."""
    message = OrderMessage("r", 3, Order("u0", Step.DRAIN, "1.8", 7))
    assert message.encode() == ORDER and OrderMessage.decode(ORDER) == message
    units = {
        "u0": UnitStatus(OrderOutcome("r", 7, None, ""), None),
        "u1": UnitStatus(None, LoadReport({"life": 2.0, "requests": 5.0})),
    }
    assert AgentStatus(3, units).encode() == STATUS and AgentStatus.decode(STATUS) == AgentStatus(3, units)


@pytest.mark.parametrize("content", [b"", b"{}", b"[]", ORDER.replace(b"drain", b"dance")])
def test_malformed_order_raises_message_error(content: bytes) -> None:
    """Covers an empty, an incomplete and a wrongly typed body, and an unknown step."""
    with pytest.raises(MessageError):
        OrderMessage.decode(content)


@pytest.mark.parametrize("content", MALFORMED_STATUSES)
async def test_agent_with_malformed_status_counts_as_silent(tmp_path: Path, content: bytes) -> None:
    """The release is not halted, because all units of the old version are silent too."""
    with pytest.raises(MessageError):
        AgentStatus.decode(content)

    async def answer(_: web.Request) -> web.Response:
        return web.Response(body=content)

    app = web.Application()
    app.router.add_get("/v1/units", answer)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        clock, address = FakeClock(), "{}:{}".format(*runner.addresses[0][:2])
        async with running_controller(tmp_path / "state", make_plan(), clock, address) as controller:
            for _ in range(15):
                clock.reading += 1.0
                assert not await controller.poll_once(clock.now())
            assert controller.record.mode is ReleaseMode.RUNNING
            assert controller.hold_reason == "many units of the old version tell nothing"
    finally:
        await runner.cleanup()
