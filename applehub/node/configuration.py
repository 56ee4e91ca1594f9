"""Reads and validates the router's configuration file."""

import logging
import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from applehub.interface import Settings
from applehub.node.discovery import ListError, read_endpoint
from applehub.node.pool import Endpoint
from applehub.settings import (
    Json,
    Names,
    NetworkLimits,
    SettingError,
    first_missing_key,
    read_names,
    read_network_limits,
    read_settings,
)

if TYPE_CHECKING:
    from applehub.node.peering import PeersConfig

CONSOLE_VARIABLE = "BALANCER_CONSOLE"
INHERITED_VARIABLE = "BALANCER_INHERITED_FD"
DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 64
DEFAULT_MEMORY_MB = 192
MIN_MEMORY_MB = 1
log = logging.getLogger("applehub")


class ConfigurationError(ValueError):
    """The configuration is missing or invalid; the message names the file or the key, and the reason."""


@dataclass(slots=True)
class Configuration:
    """A validated configuration.

    listen: the address for clients.
    discovery: the addresses of the discovery service, which provides the server list; the main one first.
    console: the address for operators; None if there is no console.
    inherited_descriptor: descriptor of a listening socket that the platform passes on; None if the router
        opens its own.
    max_descriptors, memory_limit_mb: limits for all processes of the router together.
    initial_list: the server list to start from, in the form of discovery's answers.
    raw: the file's content; a reload must contain all of its keys.
    name: the name by which other routers know this one; may be empty if peers is None.
    peers: the gossip settings; None if this router does not gossip.
    state_dir: absolute path of the folder for persisted state; None if nothing is persisted.
    """

    listen: Endpoint
    discovery: list[Endpoint]
    console: Endpoint | None
    inherited_descriptor: int | None
    seed: int
    max_descriptors: int
    memory_limit_mb: int
    initial_list: Json
    settings: Settings
    names: Names
    network_limits: NetworkLimits
    raw: Json
    name: str
    peers: "PeersConfig | None"
    state_dir: str | None


def read_configuration(path: str | None, previous: Json | None = None) -> Configuration:
    """Reads and validates the file at `path`.

    previous: at a reload, the content with which the router was started. All of its keys must be present, so
    that a default never replaces a configured value.
    Raises ConfigurationError.
    """
    if not path:
        raise ConfigurationError("BALANCER_CONFIG is not set")
    try:
        return _read_configuration(_read_object(path, previous), path)
    except (OSError, orjson.JSONDecodeError, SettingError, ListError, ValueError) as error:
        if isinstance(error, ConfigurationError):
            raise
        raise ConfigurationError(f"{path}: {error}") from None


def _read_object(path: str, previous: Json | None) -> Json:
    """Returns the file's JSON object, which must have all keys of `previous`."""
    with open(path, "rb") as file:
        source = orjson.loads(file.read())
    if not isinstance(source, dict):
        raise ConfigurationError(f"{path}: expected a JSON object")
    missing = first_missing_key(source, previous)
    if missing is not None:
        raise ConfigurationError(f"{path}: {missing} is missing")
    return source


def _read_configuration(source: Json, path: str) -> Configuration:
    info = source.get("settings")
    if not isinstance(info, dict):
        raise ConfigurationError(f"{path}: settings: expected an object")
    descriptors, memory_mb = _read_limits(source, path)
    # The environment takes precedence, because both processes of an upgrade may share the file.
    console = os.environ.get(CONSOLE_VARIABLE) or source.get("console")
    inherited_descriptor = _read_inherited_descriptor()
    return Configuration(
        listen=read_endpoint(source.get("listen")),
        discovery=_read_discovery(source),
        console=read_endpoint(console) if console else None,
        inherited_descriptor=inherited_descriptor,
        seed=int(str(source.get("seed") or "0"), 16),
        max_descriptors=descriptors,
        memory_limit_mb=memory_mb,
        initial_list=source.get("known") or {"rev": 0, "targets": []},
        settings=read_settings(info),
        names=read_names(info),
        network_limits=read_network_limits(info),
        raw=source,
        name=str(source.get("name") or ""),
        peers=read_peers_setting(source, info),
        state_dir=_read_state_dir(source),
    )


def _read_limits(source: Json, path: str) -> tuple[int, int]:
    """Returns the limits on open descriptors and on memory (MB)."""
    limits = source.get("limits")
    if not isinstance(limits, dict):
        return DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_MB
    max_descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if type(max_descriptors) is not int or max_descriptors < MIN_DESCRIPTORS:
        raise ConfigurationError(
            f"{path}: limits.sockets is not an integer or too small: {max_descriptors!r}"
        )
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if type(memory_mb) not in (int, float) or memory_mb < MIN_MEMORY_MB:
        raise ConfigurationError(f"{path}: limits.memory_mb is not a number or too small: {memory_mb!r}")
    return max_descriptors, int(memory_mb)


def _read_inherited_descriptor() -> int | None:
    """Returns the descriptor of the listening socket that the platform passes on; None if there is none."""
    descriptor = os.environ.get(INHERITED_VARIABLE) or None
    if descriptor is None:
        return None
    if not (descriptor.isascii() and descriptor.isdigit()):
        raise ConfigurationError(f"{INHERITED_VARIABLE}: expected a descriptor number, got {descriptor!r}")
    return int(descriptor)


def read_peers_setting(source: Json, info: Json) -> "PeersConfig | None":
    """Reads `peers`, the gossip settings.

    info: the settings, whose `ceilings.mayTell` may forbid gossip.
    Returns None if the key is absent or the settings forbid gossip. Raises ValueError, and
    ConfigurationError if the router has no name.
    """
    if source.get("peers") is None:
        return None
    from applehub.node.peering import read_peers  # a deferred import, since it slows the start

    peers, ceilings = read_peers(source["peers"], read_endpoint), info.get("ceilings")
    if not source.get("name"):
        raise ConfigurationError("name: expected a name, since peers is configured")
    if isinstance(ceilings, dict) and ceilings.get("mayTell") is False:
        log.warning("peers ignored: ceilings.mayTell forbids gossip")
        return None
    return peers


def _read_state_dir(source: Json) -> str | None:
    """Reads `state_dir`: the absolute path of a folder that belongs to this router alone."""
    folder = source.get("state_dir")
    if folder is not None and (not isinstance(folder, str) or not os.path.isabs(folder)):
        raise ConfigurationError(f"state_dir: expected the absolute path of a folder, got {folder!r}")
    return folder


def _read_discovery(source: Json) -> list[Endpoint]:
    """Returns the addresses in `discovery` and `discoveries`, without duplicates."""
    additional = source.get("discoveries") or []
    if not isinstance(additional, list):
        raise ListError(f"discoveries: expected a list of addresses, got {additional!r}")
    return list(dict.fromkeys(map(read_endpoint, [source.get("discovery"), *additional])))
