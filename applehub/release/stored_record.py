"""The record of a release as it is stored: JSON in the form of the first version, which both older and newer
controllers read.

The first version stored the moments of waits in Unix time (`watched`, and `sent` of each unit), and takes no
key that it does not know, except in `evidence`. So these stay, for older controllers and for people, and what
this version adds lies in `evidence`: `clock`, by which the watch of a stage goes on in a controller that
follows on the same machine, and `request_taken`. An older controller drops both when it writes.

Where the stored reading can't be compared with the clock (another start of the machine, another machine, a
record of an older controller), the watch of the stage begins anew: longer than the plan wants, never shorter.
`sent` is not read back: a controller sends the pending orders again at its start and counts from there.
"""

from dataclasses import asdict
from typing import Any

import orjson

from applehub.release.clock import Clock
from applehub.release.machine import Mode, Record, Unit

NOT_WATCHED = -1.0


class RecordCodec:
    """Writes and reads records by one clock."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._unix: dict[float, float] = {}  # of the clock's readings, fixed: a step changes no record

    def encode(self, record: Record) -> bytes:
        """The record as JSON."""
        plain = asdict(record)
        del plain["request_taken"]
        moments = {record.watched, *(unit.sent for unit in record.units.values())}
        self._unix = {moment: self._unix_time_of(moment) for moment in moments}
        plain["watched"] = self._unix[record.watched]
        for unit in plain["units"].values():
            unit["sent"] = self._unix[unit["sent"]]
        added: dict[str, Any] = {}
        if record.watched > 0:
            added["clock"] = {
                "identity": self.clock.identity,
                "watched": record.watched,
                "unix": plain["watched"],
            }
        if record.request_taken is not None:
            added["request_taken"] = record.request_taken
        plain["evidence"] = {**plain["evidence"], **added}
        return orjson.dumps(plain)

    def decode(self, value: bytes) -> Record:
        """A record from JSON; raises KeyError, TypeError, ValueError."""
        told = orjson.loads(value)
        units = {name: Unit(**{**unit, "sent": 0.0}) for name, unit in told["units"].items()}
        evidence = dict(told.get("evidence", {}))
        clock, request_taken = evidence.pop("clock", None), evidence.pop("request_taken", None)
        fields = {
            **told,
            "units": units,
            "mode": Mode(told["mode"]),
            "evidence": evidence,
            "watched": self._watched(told.get("watched", NOT_WATCHED), clock),
            "request_taken": None if request_taken is None else int(request_taken),
        }
        return Record(**fields)

    def _watched(self, unix: float, stored: dict[str, Any] | None) -> float:
        """When the watch of the stage began by this clock, or that it has to begin anew."""
        if unix < 0 or stored is None or stored["unix"] != unix:  # an older controller has written since
            return NOT_WATCHED
        reading = float(stored["watched"])
        if not self.clock.identity or stored["identity"] != self.clock.identity:
            return NOT_WATCHED
        if not 0 < reading <= self.clock.now():
            return NOT_WATCHED
        self._unix[reading] = unix
        return reading

    def _unix_time_of(self, reading: float) -> float:
        """Unix time of a reading, as it was when it was first written; what is no reading stays."""
        if reading <= 0:
            return reading
        if reading in self._unix:
            return self._unix[reading]
        return self.clock.unix_time() - (self.clock.now() - reading)
