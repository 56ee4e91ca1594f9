"""The writer of events: on files that refuse, that take half a line, and that a killed writer left."""

from io import BytesIO
from pathlib import Path

import pytest

from applehub.events import EventKind, EventWriter, read_events
from applehub.lab.fleet.system_call_faults import SystemCallFault, SystemCallFaults


def addresses(path: Path) -> list[str]:
    """The addresses of a file's READY events."""
    return [one.fields["address"] for one in read_events(path)]


@pytest.mark.parametrize("error", ["ENOSPC", "EIO"])
def test_lines_that_a_file_refuses_are_written_once_it_takes_them(tmp_path: Path, error: str) -> None:
    """The file takes 7 bytes of a line, refuses for three lines, and then takes 5 bytes at a time."""
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


def test_what_a_file_refuses_for_long_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A full file and 100 lines: the first are held and written later, the others are dropped and counted."""
    monkeypatch.setattr("applehub.events.MOST_HELD", 1_000)
    path = tmp_path / "events.jsonl"
    with SystemCallFaults(SystemCallFault("write", "ENOSPC", path=str(path))) as faults:
        writer = EventWriter(path, "me", 1)
        for number in range(100):
            writer.write(EventKind.READY, address=str(number))
        faults.replace()
        writer.close()
    kept = addresses(path)
    assert kept == [str(number) for number in range(len(kept))] and 0 < len(kept) < 20
    assert writer.dropped == 100 - len(kept)


@pytest.mark.parametrize("length", [0, 1, 70_000, 200_000])
def test_a_writer_that_follows_a_killed_one_does_not_join_its_line_to_half_a_line(
    tmp_path: Path, length: int
) -> None:
    """A file that ends in half a line, of up to several blocks: it is cut off, and the next line is whole."""
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


def test_a_file_that_holds_half_a_line_alone_is_begun_anew(tmp_path: Path) -> None:
    """A file without a whole line: nothing of it stays."""
    path = tmp_path / "events.jsonl"
    path.write_bytes(b'{"mono":1')
    writer = EventWriter(path, "me", 1)
    writer.write(EventKind.READY, address="a")
    writer.close()
    assert addresses(path) == ["a"]


def test_a_stream_gets_each_line_at_once() -> None:
    """A stream in memory: the line is there after `write`."""
    stream = BytesIO()
    EventWriter(stream, "me", 1).write(EventKind.READY, address="a")
    assert stream.getvalue().endswith(b"}\n") and b'"address":"a"' in stream.getvalue()


def test_events_that_the_version_before_wrote_are_read() -> None:
    """A file of the release controller of 0447801, of one event."""
    path = Path(__file__).parent / "stored" / "release_0447801" / "in_flight" / "events.jsonl"
    (record,) = read_events(path)
    assert (record.process, record.incarnation, record.event) == ("release", 0, EventKind.RELEASE_MODE)
    assert record.fields == {"mode": "running", "why": ""} and record.mono < record.wall
