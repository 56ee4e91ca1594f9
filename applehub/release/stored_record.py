"""JSON encoding of a release's record, compatible with older controllers in both directions.

Older controllers store Unix times (`watched`, and `sent` of each unit), and reject unknown keys except in
`evidence`. These keys are therefore still written, and later additions are stored in `evidence`: `clock`, a
clock reading from which a restarted controller on the same machine continues the watch of a stage, and
`request_taken`. Older controllers remove both when they write the record.

If the stored reading is not comparable with the clock (after a reboot, on another machine, or in a record of
an older controller), the watch of the stage restarts, so that it may take longer than planned but never less.
`sent` is not decoded, because a controller sends pending orders again when it starts.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from applehub.release.clock import Clock
from applehub.release.errors import StoredStateError
from applehub.release.evidence import EvidenceState, FailureKind, GateState, UnitBaseline
from applehub.release.state_machine import ReleaseKind, ReleaseMode, ReleaseRecord, UnitState

NOT_WATCHED = -1.0  # value of `watched` while no stage is being watched
JsonObject = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class _StoredReading:
    """A clock reading with the identity of its clock, as stored in `evidence`."""

    identity: str  # `Clock.identity` of the clock that was read
    reading: float
    unix_time: float  # equals the record's `watched` unless an older controller changed it

    def encode(self) -> JsonObject:
        return {"identity": self.identity, "watched": self.reading, "unix": self.unix_time}

    @classmethod
    def decode(cls, fields: JsonObject) -> "_StoredReading":
        return cls(str(fields["identity"]), float(fields["watched"]), float(fields["unix"]))


class RecordCodec:
    """Encodes and decodes records, whose times are readings of one clock."""

    def __init__(self, clock: Clock) -> None:
        """clock: the clock that all times in the records were read from."""
        self._clock = clock
        # Unix times by clock reading, cached so that steps of the wall clock don't change stored records.
        self._unix_times: dict[float, float] = {}

    def encode(self, record: ReleaseRecord) -> bytes:
        """Returns the record as JSON."""
        readings = {unit.sent_at for unit in record.units.values()}
        if record.watch_started is not None:
            readings.add(record.watch_started)
        self._unix_times = {reading: self._unix_time_of(reading) for reading in readings}
        return orjson.dumps(
            {
                "what": record.kind,
                "old": record.old_version,
                "new": record.new_version,
                "batches": record.stages,
                "watch_s": record.stage_watch_s,
                "out_at_once": record.max_unavailable,
                "tries": record.max_attempts,
                "step_s": record.step_timeout_s,
                "units": {name: self._encoded_unit(unit) for name, unit in record.units.items()},
                "mode": record.mode,
                "stage": record.stage,
                "watched": self._stored_watch(record),
                "number": record.last_order_number,
                "why": record.reason,
                "stuck": record.stuck_units,
                "id": record.release_id,
                "back_on_halt": record.rollback_on_halt,
                "evidence": self._encoded_evidence(record),
            }
        )

    def decode(self, content: bytes) -> ReleaseRecord:
        """Decodes a record from JSON. Raises StoredStateError."""
        try:
            return self._decoded(orjson.loads(content))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise StoredStateError(f"stored record of a release can't be decoded: {error!r}") from error

    def _decoded(self, fields: JsonObject) -> ReleaseRecord:
        evidence = fields.get("evidence", {})
        request = evidence.get("request_taken")
        return ReleaseRecord(
            release_id=str(fields.get("id", "")),
            kind=ReleaseKind(fields["what"]),
            old_version=str(fields["old"]),
            new_version=str(fields["new"]),
            stages=[[str(name) for name in stage] for stage in fields["batches"]],
            stage_watch_s=[float(seconds) for seconds in fields["watch_s"]],
            max_unavailable=int(fields["out_at_once"]),
            max_attempts=int(fields["tries"]),
            step_timeout_s=float(fields["step_s"]),
            units={str(name): _decoded_unit(unit) for name, unit in fields["units"].items()},
            rollback_on_halt=bool(fields.get("back_on_halt", False)),
            mode=ReleaseMode(fields["mode"]),
            stage=int(fields["stage"]),
            watch_started=self._watch_started(fields.get("watched", NOT_WATCHED), evidence.get("clock")),
            last_order_number=int(fields["number"]),
            reason=str(fields["why"]),
            stuck_units=[str(name) for name in fields["stuck"]],
            gate_state=_decoded_gate_state(evidence),
            last_request=None if request is None else int(request),
        )

    def _encoded_unit(self, unit: UnitState) -> JsonObject:
        return {
            "zone": unit.zone,
            "version": unit.version,
            "target": unit.target_version,
            "step": unit.step_index,
            "number": unit.order_number,
            "tries": unit.attempts,
            "sent": self._unix_times[unit.sent_at],
        }

    def _encoded_evidence(self, record: ReleaseRecord) -> JsonObject:
        fields: dict[str, object] = {
            kind.value: _encoded_state(state) for kind, state in record.gate_state.evidence.items()
        }
        fields["watched_s"] = record.gate_state.watched_s
        if record.watch_started is not None:
            reading = _StoredReading(self._clock.identity, record.watch_started, self._stored_watch(record))
            fields["clock"] = reading.encode()
        if record.last_request is not None:
            fields["request_taken"] = record.last_request
        return fields

    def _stored_watch(self, record: ReleaseRecord) -> float:
        return NOT_WATCHED if record.watch_started is None else self._unix_times[record.watch_started]

    def _watch_started(self, unix_time: float, clock: JsonObject | None) -> float | None:
        """Returns the reading at which the watch of the stage began, or None if it must restart."""
        if unix_time < 0 or clock is None:
            return None
        stored = _StoredReading.decode(clock)
        if stored.unix_time != unix_time or not stored.identity or stored.identity != self._clock.identity:
            return None
        if not 0 < stored.reading <= self._clock.now():
            return None
        self._unix_times[stored.reading] = unix_time
        return stored.reading

    def _unix_time_of(self, reading: float) -> float:
        """Returns the Unix time of a reading, the same at each call, or 0 if the reading is 0."""
        if not reading:
            return 0.0
        if reading in self._unix_times:
            return self._unix_times[reading]
        return self._clock.unix_time() - (self._clock.now() - reading)


def _decoded_unit(fields: JsonObject) -> UnitState:
    return UnitState(
        zone=str(fields["zone"]),
        version=str(fields["version"]),
        target_version=str(fields.get("target", "")),
        step_index=int(fields.get("step", 0)),
        order_number=int(fields.get("number", 0)),
        attempts=int(fields.get("tries", 0)),
    )


def _encoded_state(state: EvidenceState) -> JsonObject:
    return {
        "logs": state.log_likelihoods,
        "chi": state.chi_squared,
        "freedom": state.degrees_of_freedom,
        "known": {name: [baseline.expected, baseline.observed] for name, baseline in state.baselines.items()},
    }


def _decoded_gate_state(fields: JsonObject) -> GateState:
    evidence = {
        kind: EvidenceState(
            log_likelihoods=[float(log) for log in fields[kind]["logs"]],
            chi_squared=float(fields[kind]["chi"]),
            degrees_of_freedom=int(fields[kind]["freedom"]),
            baselines={
                str(name): UnitBaseline(float(expected), int(observed))
                for name, (expected, observed) in fields[kind]["known"].items()
            },
        )
        for kind in FailureKind
        if kind in fields
    }
    return GateState(float(fields.get("watched_s", 0.0)), evidence)
