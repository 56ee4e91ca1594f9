"""The configuration of a replica of the list service: a TOML file, checked completely."""

from pathlib import Path
from typing import Annotated, Any

from pydantic import Field, field_validator, model_validator

from applehub.checked import Table, read_toml, validate
from applehub.node.discovery import ListError, read_endpoint
from applehub.registry.errors import ConfigError
from applehub.registry.replica_state import MILLI
from applehub.registry.replica_state import Timing as ReplicaTiming

Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]


class Timing(Table):
    """Spans of the agreement. The lease must be shorter than the least election timeout, by what clocks drift
    apart."""

    heartbeat_ms: Positive = 50.0
    election_ms: Positive = 500.0
    lease_ms: Positive = 400.0

    @model_validator(mode="after")
    def _in_order(self) -> "Timing":
        if not 2 * self.heartbeat_ms <= self.lease_ms < self.election_ms:
            raise ValueError("expected 2 * heartbeat_ms <= lease_ms < election_ms")
        return self

    def for_replica(self) -> ReplicaTiming:
        """The spans as the agreement counts them, in ns."""
        return ReplicaTiming(
            int(self.heartbeat_ms * MILLI), int(self.election_ms * MILLI), int(self.lease_ms * MILLI)
        )


class Leases(Table):
    """Of the servers that register themselves."""

    brake_part: Annotated[float, Field(gt=0, le=1)] = 0.3
    brake_least: Count = 2
    look_ms: Positive = 200.0


class Limits(Table):
    """What one replica bears."""

    callers: Count = 5000  # connections of routers at once
    whole_a_second: Positive = 400.0  # complete lists; those past it wait
    patience_ms: Positive = 1000.0  # of that wait; who would wait longer is answered with a Retry-After
    slow_s: Positive = 10.0  # for a caller to take its answer
    stale_ms: Positive = 2000.0  # a follower that has not heard from the leader for longer serves no more
    changes: Count = 10_000  # kept for those behind
    compact: Count = 2000  # entries of the log, before it is compacted


class Config(Table):
    """All of the file."""

    name: Annotated[str, Field(min_length=1)]
    state_dir: Path
    listen: str = "127.0.0.1:0"  # for routers
    staff: str = "127.0.0.1:0"  # for writers, staff and metrics
    peers: dict[str, str] = Field(default={})  # addresses of the group by name, this one's too
    views: dict[str, str] = Field(default={})  # by a caller's address: which of a server's endpoints it gets
    log_calls: bool = False
    timing: Timing = Timing()
    leases: Leases = Leases()
    limits: Limits = Limits()

    @field_validator("listen", "staff")
    @classmethod
    def _address(cls, address: str) -> str:
        _check_endpoint(address)
        return address

    @field_validator("peers")
    @classmethod
    def _addresses(cls, addresses: dict[str, str]) -> dict[str, str]:
        for address in addresses.values():
            _check_endpoint(address)
        return addresses

    @model_validator(mode="after")
    def _in_group(self) -> "Config":
        if self.peers and self.name not in self.peers:
            raise ValueError(f"expected {self.name!r} (its name) among the peers")
        if self.peers and len(self.peers) % 2 == 0:
            raise ValueError("expected an odd number of peers")
        return self


def _check_endpoint(address: str) -> None:
    try:
        read_endpoint(address)
    except ListError:
        raise ValueError(f"expected HOST:PORT, got {address!r}") from None


def parse(name: str, raw: dict[str, Any]) -> Config:
    """Checks what a file contains; name is what the errors call it. Raises ConfigError."""
    return validate(name, Config, raw, ConfigError)


def load(path: Path) -> Config:
    """Reads a file. Raises ConfigError."""
    return parse(str(path), read_toml(path, ConfigError))
