"""Load reports in servers' responses. An invalid report is ignored; the response itself still counts."""

import hiredis
import pytest
from support import SECOND, Router, settings

from applehub import interface as api
from applehub.node import caches, origin
from applehub.node.call import read_load
from applehub.node.http1 import HttpResponse

REPORT = b"backlog=3.5,errors_per_s=0.25,x0=0.691"
LOAD = api.LoadReport(queue=3.5, eps=0.25)
INVALID_REPORTS = [
    None,
    7,
    b"",
    b"backlog",
    b"backlog=",
    b"backlog=3,",
    b"backlog=3,errors_per_s=",
    b"backlog=3,err",
    b"backlog=-3",
    b"backlog=nan",
    b"backlog=1e400",
    b"backlog=99999999999999",
    b"=3",
    b"backlog=3 errors_per_s=1",
    b"\xff\xfe=1",
]


def test_known_fields_of_report_are_parsed() -> None:
    assert read_load(REPORT) == LOAD
    assert read_load("x0=0.5") is None
    assert read_load(b"backlog=0,soon=1") == api.LoadReport(queue=0)


@pytest.mark.parametrize("report", INVALID_REPORTS)
def test_invalid_report_is_ignored(report: object) -> None:
    assert read_load(report) is None
    served = caches.result_of([b"value", b"hit", report])
    assert served is not None
    assert (served.status, served.value, served.load) == (api.Status.OK, b"value", None)


def test_every_cache_reply_may_carry_report() -> None:
    for answer, status in (
        ([b"value", b"hit", REPORT], api.Status.OK),
        ([None, b"miss", REPORT], api.Status.MISS),
        (hiredis.ReplyError("BUSY " + REPORT.decode()), api.Status.FULL),
        (hiredis.ReplyError("ERR failed " + REPORT.decode()), api.Status.ERROR),
    ):
        result = caches.result_of(answer)
        assert result is not None and (result.status, result.load) == (status, LOAD)


@pytest.mark.parametrize("text", ["BUSY", "BUSY backlog=", "ERR failed", "ERR failed later"])
def test_error_line_without_report_keeps_its_status(text: str) -> None:
    result = caches.result_of(hiredis.ReplyError(text))
    status = api.Status.FULL if text.startswith("BUSY") else api.Status.ERROR
    assert result is not None and (result.status, result.load) == (status, None)


def test_origin_response_may_carry_report() -> None:
    for status, expected in ((200, api.Status.OK), (500, api.Status.ERROR)):
        for report, load in ((REPORT, LOAD), (b"backlog=", None)):
            result = origin.result_of(HttpResponse(status, {b"x-load-report": report}, bytearray(b"v")))
            assert (result.status, result.load) == (expected, load)
    assert origin.result_of(HttpResponse(200, {})).load is None


def test_reported_errors_reveal_server_failing_other_routers() -> None:
    """A router that seldom uses a server detects from load reports that other routers' requests fail."""
    router = Router(settings(router_count=40))
    for n in range(40):
        name, _ = router.send_request(f"other{n}")
        router.deliver(api.RequestCancelled(name))
        router.advance(SECOND // 10)
    for server in router.balancer.server_table.servers.values():
        server.in_flight = 0
    _, (send,) = router.send_request("k")
    assert isinstance(send, api.Send)
    server = router.balancer.server_table.servers[send.server]
    request_rate = router.balancer.server_table.request_rate.per_second(router.now) * 40 / 4
    router.finish_attempt(send, api.Status.MISS, load=api.LoadReport(queue=0, eps=0.8 * request_rate))
    assert server.error_rate == pytest.approx(0.4, rel=0.1)
    router.balancer.server_table.observe(
        server, api.Outcome("", 0, send.server, api.Status.MISS, False, 0, load=api.LoadReport(eps=0.0))
    )
    assert server.error_rate < 0.4
