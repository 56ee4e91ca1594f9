"""The configuration of a replica of the list service, read from a TOML file."""

from pathlib import Path
from typing import Annotated, Any

from pydantic import Field, field_validator, model_validator

from applehub.node.discovery import ListError, read_endpoint
from applehub.registry.errors import ConfigError
from applehub.registry.replica_state import MILLI
from applehub.registry.replica_state import Timing as ReplicaTiming
from applehub.validation import Table, read_toml, validate

Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]


class Timing(Table):
    """Time spans of the Raft protocol.

    The lease must be shorter than the minimum election timeout; the difference must exceed the clock drift
    between replicas."""

    heartbeat_ms: Positive = 50.0
    election_ms: Positive = 500.0
    lease_ms: Positive = 400.0

    @model_validator(mode="after")
    def _check_order(self) -> "Timing":
        if not 2 * self.heartbeat_ms <= self.lease_ms < self.election_ms:
            raise ValueError("expected 2 * heartbeat_ms <= lease_ms < election_ms")
        return self

    def for_replica(self) -> ReplicaTiming:
        """Converts the time spans to nanoseconds."""
        return ReplicaTiming(
            int(self.heartbeat_ms * MILLI), int(self.election_ms * MILLI), int(self.lease_ms * MILLI)
        )


class Leases(Table):
    """Expiry of server leases.

    Expiry is paused while the number of expired leases exceeds both limits, `brake_part` and `brake_least`.
    brake_part: a fraction of all leased servers.
    brake_least: a number of servers.
    look_ms: time between two checks of the leases."""

    brake_part: Annotated[float, Field(gt=0, le=1)] = 0.3
    brake_least: Count = 2
    look_ms: Positive = 200.0


class Limits(Table):
    """Resource limits of one replica."""

    callers: Count = 5000  # maximum concurrent requests of routers
    whole_a_second: Positive = 400.0  # complete lists sent per second; requests above this rate wait
    patience_ms: Positive = (
        1000.0  # maximum wait for a complete list; requests with a longer wait are rejected
    )
    slow_s: Positive = 10.0  # maximum time for a router to read its response
    stale_ms: Positive = 2000.0  # a replica that was last up to date longer ago rejects requests of routers
    changes: Count = 10_000  # changes retained for routers with earlier versions
    compact: Count = 2000  # applied log entries after which the log is compacted


class Config(Table):
    """The complete configuration file."""

    name: Annotated[str, Field(min_length=1)]
    state_dir: Path
    listen: str = "127.0.0.1:0"  # HOST:PORT for requests of routers
    staff: str = "127.0.0.1:0"  # HOST:PORT for writers, operators and metrics
    peers: dict[str, str] = Field(default={})  # addresses of all replicas by name, including this one
    views: dict[str, str] = Field(default={})  # by IP address of a router: the view, which selects endpoints
    log_calls: bool = False  # whether requests of routers are logged as events
    timing: Timing = Timing()
    leases: Leases = Leases()
    limits: Limits = Limits()

    @field_validator("listen", "staff")
    @classmethod
    def _check_address(cls, address: str) -> str:
        _check_endpoint(address)
        return address

    @field_validator("peers")
    @classmethod
    def _check_peer_addresses(cls, addresses: dict[str, str]) -> dict[str, str]:
        for address in addresses.values():
            _check_endpoint(address)
        return addresses

    @model_validator(mode="after")
    def _check_peers(self) -> "Config":
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
    """Validates the contents of a configuration file. Raises ConfigError.

    name: the file name in error messages."""
    return validate(name, Config, raw, ConfigError)


def load(path: Path) -> Config:
    """Reads and validates a configuration file. Raises ConfigError."""
    return parse(str(path), read_toml(path, ConfigError))
