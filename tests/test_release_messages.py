"""Messages between a controller and its agents: their forms, and answers that can't be decoded."""

from pathlib import Path

import pytest
from aiohttp import web
from release_support import SteppedClock, controlling, make_plan

from applehub.release.errors import MessageError
from applehub.release.messages import AgentStatus, LoadReport, OrderMessage, OrderOutcome, UnitStatus
from applehub.release.state_machine import Order, ReleaseMode, Step

ORDER = b'{"release":"r","fence":3,"unit":"u0","step":"drain","version":"1.8","number":7}'
STATUS = (
    b'{"fence":3,"units":{"u0":{"order":{"release":"r","number":7,"good":null,"why":""},"figures":null},'
    b'"u1":{"order":{},"figures":{"life":2.0,"requests":5.0}}}}'
)
NO_STATUS = [
    b"",
    b"[]",
    b'{"units":[]}',
    b'{"units":{"u0":{"figures":null}}}',
    b'{"units":{"u0":{"order":{"release":"r","number":"7","good":true,"why":""},"figures":null}}}',
    b'{"units":{"u0":{"order":{"release":"r","number":7,"good":"yes","why":""},"figures":null}}}',
    b'{"units":{"u0":{"order":{},"figures":{"requests":"many"}}}}',
    b'{"units":{"u0":{"order":{},"figures":[1]}}}',
]


def test_messages_have_the_forms_that_agents_and_controllers_of_the_version_before_speak() -> None:
    """An order and a status, encoded and decoded, against their JSON."""
    message = OrderMessage("r", 3, Order("u0", Step.DRAIN, "1.8", 7))
    assert message.encode() == ORDER and OrderMessage.decode(ORDER) == message
    units = {
        "u0": UnitStatus(OrderOutcome("r", 7, None, ""), None),
        "u1": UnitStatus(None, LoadReport({"life": 2.0, "requests": 5.0})),
    }
    assert AgentStatus(3, units).encode() == STATUS and AgentStatus.decode(STATUS) == AgentStatus(3, units)


@pytest.mark.parametrize("content", [b"", b"{}", b"[]", ORDER.replace(b"drain", b"dance")])
def test_an_order_that_makes_no_sense_is_a_message_error(content: bytes) -> None:
    """Bodies that are no order: MessageError."""
    with pytest.raises(MessageError):
        OrderMessage.decode(content)


@pytest.mark.parametrize("content", NO_STATUS)
async def test_an_agent_whose_answer_makes_no_sense_counts_as_silent(tmp_path: Path, content: bytes) -> None:
    """The controller goes on, and halts nothing by it, since all units of the old version are as silent."""
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
        clock, address = SteppedClock(), "{}:{}".format(*runner.addresses[0][:2])
        async with controlling(tmp_path / "state", make_plan(), clock, address) as controller:
            for _ in range(15):
                clock.reading += 1.0
                assert not await controller.poll_once(clock.now())
            assert controller.record.mode is ReleaseMode.RUNNING
            assert controller.hold_reason == "many units of the old version tell nothing"
    finally:
        await runner.cleanup()
