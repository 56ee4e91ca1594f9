"""Tests that the README example and the log lines documented for operators match the program."""

import contextlib
import io
import re
from pathlib import Path

from support import MILLI, SECOND, Router, settings

from applehub import interface as api

ROOT = Path(__file__).parent.parent


def test_readme_example_prints_the_output_shown_in_the_readme() -> None:
    text = (ROOT / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    shown_output = re.search(r"prints\n\n((?:    .*\n)+)", text)
    assert code and shown_output
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(code[1], {})
    assert printed.getvalue() == "".join(line[4:] + "\n" for line in shown_output[1].splitlines())


def test_on_call_page_lists_exactly_the_log_lines_of_the_policy() -> None:
    router = Router(settings(list_on_request=True))
    router.enable_throttle()
    router.advance(60 * SECOND)
    router.crash_owner("k")
    key_owner = router.candidates("k")[0]
    router.make_owner_fail(next(key for key in "abcdefgh" if router.candidates(key)[0] is not key_owner))
    router.advance(2 * SECOND)
    _, (next_attempt,) = router.send_request("k")
    router.finish_attempt(next_attempt, api.Status.OK, elapsed=MILLI)
    router.deliver(api.Members(api.ListKind.FAILED, []))
    router.advance(5 * SECOND)
    router.deliver(api.GossipSummary(9, failure_reports={f"c{number}": (9, 9) for number in range(4)}))
    for key, status in (("m1", api.Status.LOCAL_FAILURE), ("m2", api.Status.UNREACHABLE)):
        router.advance(11 * SECOND)
        _, (first_attempt, *_) = router.send_request(key)
        router.finish_attempt(first_attempt, status, elapsed=0)
    logged_lines = {re.sub(r"\bc\d\b", "S", re.sub(r"\b\d+\b", "N", line)) for line in router.log}
    page = (ROOT / "docs" / "on-call.md").read_text()
    assert logged_lines == set(re.findall(r"^\| `(.*?)` \|", page, re.M))
