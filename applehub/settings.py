"""Reads and validates a router's settings, for the simulator's adapter and the router process."""

from dataclasses import dataclass
from typing import Any

from applehub import interface as io

REGISTRY_MODES = ("pushed", "on_request")
CACHE_MODES = ("through", "aside")
Json = dict[str, Any]
OPTIONAL_KEYS = frozenset({"aimStretch"})  # keys that a reload may omit
LOAD_FIELDS = {
    "outstanding": "inflight",
    "backlog": "queue",
    "utilization": "util",
    "recent_ms": "latency_ms",
    "throughput": "qps",
    "errors_per_s": "eps",
}  # fields of a load report: the name on the wire, and the field of `interface.Load`


class SettingError(ValueError):
    """A setting is missing or invalid; the message names its path."""


def setting(source: Json, path: str, expected_type: type | tuple[type, ...], default: Any = None) -> Any:
    """Returns one setting.

    source: the object that contains the setting. path: its dotted path, whose last part is the key in
    `source`. expected_type: the permitted type or types; a bool does not count as a number. default: replaces
    an absent or null value; with None the setting is required. Raises SettingError.
    """
    value = source.get(path.rsplit(".", 1)[-1])
    if value is None:
        if default is None:
            raise SettingError(f"setting {path} is missing")
        return default
    if not isinstance(value, expected_type) or (isinstance(value, bool) and expected_type is not bool):
        raise SettingError(f"setting {path} is invalid: {value!r}")
    return value


def _number(source: Json, path: str, minimum: float, default: float | None = None) -> float:
    value = float(setting(source, path, (int, float), default))
    if not minimum <= value < 1e19:
        raise SettingError(f"setting {path} is invalid: {value:g}")
    return value


def _count(source: Json, path: str, minimum: int, default: int | None = None) -> int:
    return int(_number(source, path, minimum, default))


def _choice(source: Json, path: str, choices: tuple[str, ...], default: str) -> str:
    value = setting(source, path, str, default)
    if value not in choices:
        raise SettingError(f"setting {path} is invalid: {value!r}")
    return str(value)


def _object_list(source: Json, path: str, default: list[Json] | None = None) -> list[Json]:
    value: list[Json] = setting(source, path, list, default)
    if not all(isinstance(item, dict) for item in value):
        raise SettingError(f"setting {path} is invalid: expected a list of objects")
    return value


def _request_class(source: Json, index: int) -> io.RequestClass:
    path = f"classes[{index}]"
    # A class without `effect` counts as not idempotent, so that its requests never run twice.
    return io.RequestClass(
        latency_objective=_count(source, f"{path}.aim", 1),
        deadline=_count(source, f"{path}.deadline", 1),
        effect=io.Effect(_choice(source, f"{path}.effect", tuple(io.Effect), io.Effect.UNSAFE)),
        group=_choice(source, f"{path}.group", ("all", "zone", "cell"), "cell"),
        idempotency_window=_count(source, f"{path}.repeatWindow", 0, 0),
        priority_weight=_number(source, f"{path}.gain", 0, 1),
        late_weight=_number(source, f"{path}.lateWorth", 0, 0),
        stream=setting(source, f"{path}.stream", bool, False),
    )


def read_settings(info: Json) -> io.Settings:
    """Converts settings from their wire form to the policy's `Settings`. Raises SettingError."""
    if not isinstance(info, dict):
        raise SettingError("setting info is invalid: expected an object")
    classes, tenants = _object_list(info, "classes"), _object_list(info, "tenants", [])
    if not classes:
        raise SettingError("setting classes is invalid: expected at least one class")
    ceilings, safety = setting(info, "ceilings", dict), setting(info, "safety", dict)
    specifics = setting(info, "specifics", dict, {})
    return io.Settings(
        classes=[_request_class(entry, index) for index, entry in enumerate(classes)],
        router_count=_count(info, "balancers", 1, 1),
        tenants=[
            io.Tenant(_number(entry, f"tenants[{n}].quotaRps", 0, 0)) for n, entry in enumerate(tenants)
        ],
        cache_aside=_choice(specifics, "specifics.mode", CACHE_MODES, "through") == "aside",
        origin_kind=_count(specifics, "specifics.originKind", -1, -1),
        list_on_request=_choice(info, "registryMode", REGISTRY_MODES, "pushed") == "on_request",
        retry_after=setting(ceilings, "ceilings.retryAfter", bool, False),
        max_retry_after=_count(ceilings, "ceilings.maxRetryAfter", 0, 0),
        max_attempts=_count(ceilings, "ceilings.attemptsCap", 1, 1),
        connect_timeout=_count(ceilings, "ceilings.dialTimeout", 0, 250_000_000),
        max_poll_interval=_count(safety, "safety.askWithin", 0, 10_000_000_000),
        slow_start_capacity=_number(safety, "safety.coldFrom", 0, 1),
        slow_start_time=_count(safety, "safety.rampTime", 0, 0),
        overload_factor=_number(safety, "safety.tipMultiple", 0, 1),
        overload_window=_count(safety, "safety.fall", 0, 1_000_000_000),
    )


@dataclass(slots=True)
class Names:
    """The indexes of request classes, tenants, zones and kinds by their names on the wire."""

    classes: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    kinds: dict[str, int]

    def with_indexes_of(self, previous: "Names") -> "Names":
        """Returns these names, adapted for a reload that replaces `previous`.

        Zones and kinds in `previous` keep their indexes, since listed servers refer to them; new ones follow.
        """
        zones, kinds = dict(previous.zones), dict(previous.kinds)
        for indexes, configured in ((zones, self.zones), (kinds, self.kinds)):
            for name in configured:
                indexes.setdefault(name, len(indexes))
        return Names(self.classes, self.tenants, zones, kinds)


@dataclass(slots=True)
class NetworkLimits:
    """Limits on the router's requests and connections; durations in nanoseconds.

    max_in_flight: maximum number of requests in flight. dial_timeout: maximum time to open a connection to a
    server. keepalive: time after which a server closes an idle connection.
    """

    max_in_flight: int
    dial_timeout: int
    keepalive: int


def _indexes(source: Json, path: str, default: list[str]) -> dict[str, int]:
    names = setting(source, path, list, default)
    if not all(isinstance(item, str) for item in names) or len(set(names)) < len(names):
        raise SettingError(f"setting {path} is invalid: {names!r}")
    return {name: index for index, name in enumerate(names)}


def read_names(info: Json) -> Names:
    """Returns the names of request classes, tenants, zones and kinds. Raises SettingError."""
    classes, tenants = _object_list(info, "classes"), _object_list(info, "tenants", [])
    return Names(
        _indexes({"name": [entry.get("name") for entry in classes]}, "classes[].name", []),
        _indexes({"name": [entry.get("name") for entry in tenants]}, "tenants[].name", []),
        _indexes(info, "azs", []),
        _indexes(info, "hostTypes", []),
    )


def read_network_limits(info: Json) -> NetworkLimits:
    """Returns the limits that the network code enforces. Raises SettingError."""
    ceilings = setting(info, "ceilings", dict)
    return NetworkLimits(
        max_in_flight=_count(ceilings, "ceilings.mostHeld", 1, 20_000),
        dial_timeout=_count(ceilings, "ceilings.dialTimeout", 1, 250_000_000),
        keepalive=_count(ceilings, "ceilings.keepalive", 1, 60_000_000_000),
    )


def first_missing_key(current: object, previous: object, path: str = "configuration") -> str | None:
    """Returns the path of the first key, at any depth, that `previous` has and `current` lacks, or None.

    current, previous: the settings of a reload and those before it. path: the path of both, for the result.
    An entry of a list must have the keys that all entries of the previous list have in common. A reload that
    fails this check is rejected, since a default would otherwise replace a configured value.
    """
    if isinstance(previous, list):
        entries = [entry for entry in previous if isinstance(entry, dict)]
        if not entries:
            return None
        if not isinstance(current, list) or not current:
            return path
        common = {key: None for key in entries[0] if all(entry.get(key) is not None for entry in entries)}
        required = {key: entries[0][key] for key in common if key not in OPTIONAL_KEYS}
        missing = (first_missing_key(entry, required, f"{path}[{n}]") for n, entry in enumerate(current))
        return next((key_path for key_path in missing if key_path is not None), None)
    if not isinstance(previous, dict):
        return None
    if not isinstance(current, dict):
        return path
    for key, value in previous.items():
        if value is None or key in OPTIONAL_KEYS:
            continue
        if current.get(key) is None:
            return f"{path}.{key}"
        if (
            key != "targets"
            and (nested := first_missing_key(current[key], value, f"{path}.{key}")) is not None
        ):
            return nested
    return None
