"""The configuration of a replica of the list service: a TOML file that is validated completely."""

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
    """Time spans of the Raft protocol.

    The lease must be shorter than the minimum election timeout by more than the clock drift."""

    heartbeat_ms: Positive = 50.0
    election_ms: Positive = 500.0
    lease_ms: Positive = 400.0

    @model_validator(mode="after")
    def _in_order(self) -> "Timing":
        if not 2 * self.heartbeat_ms <= self.lease_ms < self.election_ms:
            raise ValueError("expected 2 * heartbeat_ms <= lease_ms < election_ms")
        return self

    def for_replica(self) -> ReplicaTiming:
        """Returns the time spans for the replica, in nanoseconds."""
        return ReplicaTiming(
            int(self.heartbeat_ms * MILLI), int(self.election_ms * MILLI), int(self.lease_ms * MILLI)
        )


class Leases(Table):
    """Leases of the servers that register themselves.

    brake_part, brake_least: expiry is paused while more than this fraction of the leased servers, and more
    than this number of them, are expired. look_ms: time between two checks."""

    brake_part: Annotated[float, Field(gt=0, le=1)] = 0.3
    brake_least: Count = 2
    look_ms: Positive = 200.0


class Limits(Table):
    """Resource limits of one replica."""

    callers: Count = 5000  # concurrent requests of routers
    whole_a_second: Positive = 400.0  # complete lists per second; further requests wait
    patience_ms: Positive = 1000.0  # maximum wait; longer ones are answered with Retry-After
    slow_s: Positive = 10.0  # maximum time for a router to read its response
    stale_ms: Positive = 2000.0  # a follower without contact to the leader for longer stops serving
    changes: Count = 10_000  # retained for routers that are behind
    compact: Count = 2000  # log entries after which the log is compacted


class Config(Table):
    """The complete configuration file."""

    name: Annotated[str, Field(min_length=1)]
    state_dir: Path
    listen: str = "127.0.0.1:0"  # address for routers
    staff: str = "127.0.0.1:0"  # address for writers, operators and metrics
    peers: dict[str, str] = Field(default={})  # addresses of all replicas by name, including this one
    views: dict[str, str] = Field(default={})  # view of a router by its IP address
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
            raise ValueError(f"expected the name of the replica, {self.name!r}, among the peers")
        if self.peers and len(self.peers) % 2 == 0:
            raise ValueError("expected an odd number of peers")
        return self


def _check_endpoint(address: str) -> None:
    try:
        read_endpoint(address)
    except ListError:
        raise ValueError(f"expected HOST:PORT, got {address!r}") from None


def parse(name: str, raw: dict[str, Any]) -> Config:
    """Validates the contents of a file. Raises ConfigError.

    name: the file name that error messages contain."""
    return validate(name, Config, raw, ConfigError)


def load(path: Path) -> Config:
    """Reads and validates a file. Raises ConfigError."""
    return parse(str(path), read_toml(path, ConfigError))
