"""Who imports whom: no circles, and nothing of `run` and `sim` imports what lies beside them."""

import ast
import subprocess
import sys
import tomllib
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent
LAYERS = ["applehub.interface", "applehub.policy", "applehub.settings", "applehub.node", "applehub.__main__"]


def imports() -> dict[str, set[str]]:
    """Each module of the package with those that it imports, for types alone too."""
    names = {
        ".".join(file.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): file
        for file in (ROOT / "applehub").rglob("*.py")
    }
    found: dict[str, set[str]] = {}
    for name, file in names.items():
        told = [one for one in ast.walk(ast.parse(file.read_text())) if isinstance(one, ast.ImportFrom)]
        named = {f"{one.module}.{alias.name}" for one in told for alias in one.names}
        named |= {one.module for one in told if one.module}
        # A package that is named on the way to a module of its own is no import of it.
        found[name] = {one for one in named & names.keys() if one != name and not name.startswith(one + ".")}
    return found


def test_no_modules_import_one_another_in_a_circle() -> None:
    order = list(TopologicalSorter(imports()).static_order())  # raises CycleError, which names the circle
    assert len(order) > 80


def test_what_lies_above_is_not_imported_from_below() -> None:
    found = imports()
    for place, layer in enumerate(LAYERS):
        above = (
            tuple(LAYERS[place + 1 :])
            if layer != "applehub.settings"
            else ("applehub.node", "applehub.__main__")
        )
        for name in found:
            if name == layer or name.startswith(layer + "."):
                assert not [one for one in found[name] if one.startswith(above)], name


def test_what_routers_share_knows_neither_the_module_nor_the_network() -> None:
    for name, imported in imports().items():
        if name.startswith("applehub.peers"):
            assert all(one.startswith(("applehub.peers", "applehub.interface")) for one in imported), name
        if name.startswith("applehub.durable"):
            assert all(one.startswith("applehub.durable") for one in imported), name


def test_run_and_sim_load_no_program_beside_them_and_no_library_of_theirs() -> None:
    code = "import sys, applehub.__main__, applehub.wirehost; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    theirs = (
        "applehub.lab",
        "applehub.peers",
        "applehub.durable",
        "applehub.registry",
        "applehub.release",
        "applehub.events",
        "pydantic",
        "click",
        "structlog",
        "aiohttp",
    )
    assert not [one for one in done.stdout.split() if one.startswith(theirs)]


def test_the_deploy_file_names_every_file_of_the_decisions() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    decisions = {str(path.relative_to(ROOT)) for path in (ROOT / "applehub" / "policy").rglob("*.py")}
    assert set(deploy["policy"]) == decisions
