"""Request classes with the settings of real deployments."""

import math
import tomllib
from pathlib import Path
from typing import Any

from router_bench import info

SITES = Path(__file__).parent.parent / "deploy" / "sites"
NS_PER_MS = 1_000_000
# The classes of valdivieso-catalogo, by the fields of a file in SITES.
CATALOGUE: list[dict[str, Any]] = [
    {"name": "consulta", "aim_ms": 300, "deadline_ms": 600, "late_worth": 0, "effect": "safe"},
    {
        "name": "reserva",
        "aim_ms": 300,
        "deadline_ms": 1000,
        "late_worth": 0,
        "effect": "keyed",
        "group": "all",
        "window_ms": 2000,
        "write": True,
    },
    {
        "name": "despacho",
        "aim_ms": 600,
        "deadline_ms": 2500,
        "late_worth": 0,
        "effect": "unsafe",
        "write": True,
    },
]


def deployments() -> dict[str, list[dict[str, Any]]]:
    """Returns the request classes of each deployment, by its name."""
    files = {path.stem: tomllib.loads(path.read_text()) for path in sorted(SITES.glob("*/*.toml"))}
    return {"valdivieso-catalogo": CATALOGUE, **{name: site["class"] for name, site in files.items()}}


def silence_limit(site_class: dict[str, Any], is_origin_read: bool = False) -> float:
    """Returns the seconds within which something of a response must have come, infinite if it may be late."""
    may_be_late = site_class["late_worth"] or site_class["effect"] == "unsafe" or is_origin_read
    return math.inf if may_be_late else float(site_class["aim_ms"]) / 1000


def class_settings(site_class: dict[str, Any]) -> dict[str, Any]:
    """Converts a request class of a deployment to the form of the router's settings."""
    settings = {
        "name": site_class["name"],
        "aim": site_class["aim_ms"] * NS_PER_MS,
        "deadline": site_class["deadline_ms"] * NS_PER_MS,
        "lateWorth": site_class["late_worth"],
        "effect": site_class["effect"],
    }
    if site_class["effect"] == "keyed":
        settings |= {"group": site_class["group"], "repeatWindow": site_class["window_ms"] * NS_PER_MS}
    return settings


def settings_of(classes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns router settings with the classes of a deployment."""
    return {**info(), "classes": [class_settings(site_class) for site_class in classes]}
