"""Reads the router's configuration file and checks all of it before anything is started."""

import logging
import os
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from applehub.interface import Settings
from applehub.node.discovery import ListError, read_endpoint
from applehub.node.pool import Endpoint
from applehub.settings import (
    Ceilings,
    Json,
    Names,
    SettingError,
    first_missing,
    read_ceilings,
    read_names,
    read_settings,
)

if TYPE_CHECKING:
    from applehub.node.peering import PeersTold

CONSOLE_VARIABLE = "BALANCER_CONSOLE"
INHERITED_VARIABLE = "BALANCER_INHERITED_FD"
DEFAULT_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 64
DEFAULT_MEMORY_MB = 192
MIN_MEMORY_MB = 1
log = logging.getLogger("applehub")


class ConfigurationError(ValueError):
    """The configuration is missing or cannot be used; the text names the file or the key, and the reason."""


@dataclass(slots=True)
class Configuration:
    """A configuration that was read and checked.

    listen: the address for clients.
    discovery: the address of the list service, then its further addresses.
    console: the address for operators; None if there is no console.
    inherited: descriptor of a listening socket that the platform holds; None if the router opens its own.
    sockets, memory: limits on open descriptors and on memory in MB, for all processes of the router together.
    known: the list of servers to start from, in the form of the list service's answers.
    raw: the file as it was read; a reload must contain every key of it.
    name: the name by which other routers know this one; may be empty if peers is None.
    peers: how to reach other routers; None if this router exchanges nothing with them.
    state_dir: absolute path of the folder for state that outlives the process; None if nothing is kept.
    """

    listen: Endpoint
    discovery: list[Endpoint]
    console: Endpoint | None
    inherited: int | None
    seed: int
    sockets: int
    memory: int
    known: Json
    settings: Settings
    names: Names
    ceilings: Ceilings
    raw: Json
    name: str
    peers: "PeersTold | None"
    state_dir: str | None


def read_configuration(path: str | None, before: Json | None = None) -> Configuration:
    """Reads and checks the file at `path`.

    before: the content that the router was started with, given at a reload; every key of it must be present
    again, so that a default never replaces a value that was once configured.
    Raises ConfigurationError.
    """
    if not path:
        raise ConfigurationError("BALANCER_CONFIG names no file")
    try:
        return _read_configuration(_read_object(path, before), path)
    except (OSError, orjson.JSONDecodeError, SettingError, ListError, ValueError) as problem:
        if isinstance(problem, ConfigurationError):
            raise
        raise ConfigurationError(f"{path}: {problem}") from None


def _read_object(path: str, before: Json | None) -> Json:
    """The file's JSON object, complete with regard to `before`."""
    with open(path, "rb") as file:
        source = orjson.loads(file.read())
    if not isinstance(source, dict):
        raise ConfigurationError(f"{path}: not an object")
    missing = first_missing(source, before)
    if missing is not None:
        raise ConfigurationError(f"{path}: {missing} is missing")
    return source


def _read_configuration(source: Json, path: str) -> Configuration:
    info = source.get("settings")
    if not isinstance(info, dict):
        raise ConfigurationError(f"{path}: settings is missing or not an object")
    descriptors, memory_mb = _read_limits(source, path)
    # The environment takes precedence: both processes of an upgrade may read one file, but each has its own
    # environment.
    console = os.environ.get(CONSOLE_VARIABLE) or source.get("console")
    inherited = _read_inherited_descriptor()
    return Configuration(
        listen=read_endpoint(source.get("listen")),
        discovery=_read_discovery(source),
        console=read_endpoint(console) if console else None,
        inherited=inherited,
        seed=int(str(source.get("seed") or "0"), 16),
        sockets=descriptors,
        memory=memory_mb,
        known=source.get("known") or {"rev": 0, "targets": []},
        settings=read_settings(info),
        names=read_names(info),
        ceilings=read_ceilings(info),
        raw=source,
        name=str(source.get("name") or ""),
        peers=read_peers_of(source, info),
        state_dir=_read_state_dir(source),
    )


def _read_limits(source: Json, path: str) -> tuple[int, int]:
    """The limits on open descriptors and on memory (MB)."""
    limits = source.get("limits")
    if not isinstance(limits, dict):
        return DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_MB
    descriptors = limits.get("sockets", DEFAULT_DESCRIPTORS)
    if type(descriptors) is not int or descriptors < MIN_DESCRIPTORS:
        raise ConfigurationError(f"{path}: limits.sockets makes no sense: {descriptors!r}")
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if type(memory_mb) not in (int, float) or memory_mb < MIN_MEMORY_MB:
        raise ConfigurationError(f"{path}: limits.memory_mb makes no sense: {memory_mb!r}")
    return descriptors, int(memory_mb)


def _read_inherited_descriptor() -> int | None:
    """The number of the listening socket that the platform passes on; None if it passes none."""
    number = os.environ.get(INHERITED_VARIABLE) or None
    if number is None:
        return None
    if not (number.isascii() and number.isdigit()):
        raise ConfigurationError(f"{INHERITED_VARIABLE}: expected a descriptor's number, got {number!r}")
    return int(number)


def read_peers_of(source: Json, info: Json) -> "PeersTold | None":
    """Reads `peers`: how to reach other routers.

    info: the settings, whose `ceilings.mayTell` may forbid routers to exchange anything.
    Returns None if there is no such key or if the settings forbid it. Raises ValueError, and
    ConfigurationError if the router itself has no name.
    """
    if source.get("peers") is None:
        return None
    from applehub.node.peering import read_peers  # loaded only where the key is present: it slows the start

    peers, ceilings = read_peers(source["peers"], read_endpoint), info.get("ceilings")
    if not source.get("name"):
        raise ConfigurationError("name: expected one, by which other routers know this one")
    if isinstance(ceilings, dict) and ceilings.get("mayTell") is False:
        log.warning("peers is left unused: ceilings.mayTell forbids it")
        return None
    return peers


def _read_state_dir(source: Json) -> str | None:
    """Reads `state_dir`: the absolute path of a folder that belongs to this router alone."""
    folder = source.get("state_dir")
    if folder is not None and (not isinstance(folder, str) or not os.path.isabs(folder)):
        raise ConfigurationError(f"state_dir: expected the whole path of a folder, got {folder!r}")
    return folder


def _read_discovery(source: Json) -> list[Endpoint]:
    """Reads `discovery`, then `discoveries`, further addresses of the list service; each address once."""
    further = source.get("discoveries") or []
    if not isinstance(further, list):
        raise ListError(f"discoveries: expected a list of addresses, got {further!r}")
    return list(dict.fromkeys(map(read_endpoint, [source.get("discovery"), *further])))
