"""Tests of the event log with write errors, partial writes and files of killed writers."""

from io import BytesIO
from pathlib import Path

import pytest

from applehub.events import EventKind, EventWriter, read_events
from applehub.lab.fleet.system_call_faults import SystemCallFault, SystemCallFaults


def addresses(path: Path) -> list[str]:
    """Returns the addresses of the READY events of a file."""
    return [record.fields["address"] for record in read_events(path)]


@pytest.mark.parametrize("error", ["ENOSPC", "EIO"])
def test_lines_are_buffered_during_write_errors_and_written_later(tmp_path: Path, error: str) -> None:
    """The file accepts 7 bytes of a line, then fails three writes, then accepts 5 bytes at a time."""
    path = tmp_path / "events.jsonl"
    with SystemCallFaults(SystemCallFault("write", error, times=0, path=str(path))) as faults:
        writer = EventWriter(path, "me", 1)
        writer.write(EventKind.READY, address="a")
        faults.replace(
            SystemCallFault("write", short=7, times=1, path=str(path)),
            SystemCallFault("write", error, times=3, path=str(path)),
            SystemCallFault("write", short=5, path=str(path)),
        )
        for address in "bcd":
            writer.write(EventKind.READY, address=address)
        assert addresses(path) == ["a"]
        writer.write(EventKind.READY, address="e")
        writer.close()
    assert addresses(path) == list("abcde") and writer.dropped == 0


def test_buffer_is_bounded_during_long_write_errors(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The first lines are buffered and written later, and the others are dropped and counted."""
    monkeypatch.setattr("applehub.events.MAX_BUFFERED_BYTES", 1_000)
    path = tmp_path / "events.jsonl"
    with SystemCallFaults(SystemCallFault("write", "ENOSPC", path=str(path))) as faults:
        writer = EventWriter(path, "me", 1)
        for number in range(100):
            writer.write(EventKind.READY, address=str(number))
        faults.replace()
        writer.close()
    written = addresses(path)
    assert written == [str(number) for number in range(len(written))] and 0 < len(written) < 20
    assert writer.dropped == 100 - len(written)


@pytest.mark.parametrize("length", [0, 1, 70_000, 200_000])
def test_new_writer_truncates_partial_line_of_killed_writer(tmp_path: Path, length: int) -> None:
    """The partial last line spans up to several read blocks."""
    path = tmp_path / "events.jsonl"
    writer = EventWriter(path, "me", 1)
    writer.write(EventKind.READY, address="a")
    writer.close()
    with open(path, "ab") as file:
        file.write(b"x" * length)
    writer = EventWriter(path, "me", 2)
    writer.write(EventKind.READY, address="b")
    writer.close()
    assert addresses(path) == ["a", "b"]


def test_file_with_only_a_partial_line_is_emptied(tmp_path: Path) -> None:
    """The file has no complete line, so the new writer removes all of its content."""
    path = tmp_path / "events.jsonl"
    path.write_bytes(b'{"mono":1')
    writer = EventWriter(path, "me", 1)
    writer.write(EventKind.READY, address="a")
    writer.close()
    assert addresses(path) == ["a"]


def test_line_is_written_to_stream_immediately() -> None:
    """The line is complete in the stream when `write` returns."""
    stream = BytesIO()
    EventWriter(stream, "me", 1).write(EventKind.READY, address="a")
    assert stream.getvalue().endswith(b"}\n") and b'"address":"a"' in stream.getvalue()


def test_events_of_previous_version_are_read() -> None:
    """The file was written by the release controller of commit 0447801."""
    path = Path(__file__).parent / "stored" / "release_0447801" / "in_flight" / "events.jsonl"
    (record,) = read_events(path)
    assert (record.process, record.incarnation, record.event) == ("release", 0, EventKind.RELEASE_MODE)
    assert record.fields == {"mode": "running", "why": ""} and record.mono < record.wall
