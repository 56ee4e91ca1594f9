"""Import rules of the package: no cycles, no imports of higher layers, no unneeded modules in the router."""

import ast
import gc
import subprocess
import sys
import tomllib
import traceback
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
LAYERS = ["applehub.interface", "applehub.policy", "applehub.settings", "applehub.node", "applehub.__main__"]


def imports_by_module() -> dict[str, set[str]]:
    """Returns the modules of the package that each module imports, including imports for type checking."""
    files = {
        ".".join(file.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): file
        for file in (ROOT / "applehub").rglob("*.py")
    }
    imports_of: dict[str, set[str]] = {}
    for name, file in files.items():
        statements = [
            node for node in ast.walk(ast.parse(file.read_text())) if isinstance(node, ast.ImportFrom)
        ]
        imported = {f"{node.module}.{alias.name}" for node in statements for alias in node.names}
        imported |= {node.module for node in statements if node.module}
        # A module that imports from its own parent package does not depend on the package's __init__.
        imports_of[name] = {
            module
            for module in imported & files.keys()
            if module != name and not name.startswith(module + ".")
        }
    return imports_of


class _FailsWhenFinalized:
    """Cyclic garbage whose finalizer raises an error, as that of a stream writer with a closed event loop."""

    def __init__(self) -> None:
        self.cycle = self

    def __del__(self) -> None:
        raise RuntimeError("finalizer failed")


# Guards against failures that depend on when another test's garbage is collected; see conftest.
def test_module_is_parsed_while_finalizers_of_garbage_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    formatted: list[str] = []
    monkeypatch.setattr(
        sys, "unraisablehook", lambda error: formatted.extend(traceback.format_exception(error.exc_value))
    )
    for _ in range(20):
        _FailsWhenFinalized()
        tree = ast.parse("x = [(a + b) * (c + f(d, [e for e in g if e])) for a in b]\n" * 300)
        assert len(tree.body) == 300
    gc.collect()
    assert "finalizer failed" in "".join(formatted)


def test_modules_have_no_import_cycle() -> None:
    order = list(TopologicalSorter(imports_by_module()).static_order())  # raises CycleError for a cycle
    assert len(order) > 80


def test_lower_layers_do_not_import_higher_layers() -> None:
    imports_of = imports_by_module()
    for level, layer in enumerate(LAYERS):
        higher_layers = (
            tuple(LAYERS[level + 1 :])
            if layer != "applehub.settings"
            else ("applehub.node", "applehub.__main__")
        )
        for name in imports_of:
            if name == layer or name.startswith(layer + "."):
                assert not [module for module in imports_of[name] if module.startswith(higher_layers)], name


def test_peers_and_durable_import_no_other_package() -> None:
    for name, imported in imports_by_module().items():
        if name.startswith("applehub.peers"):
            assert all(module.startswith(("applehub.peers", "applehub.interface")) for module in imported), (
                name
            )
        if name.startswith("applehub.durable"):
            assert all(module.startswith("applehub.durable") for module in imported), name


def test_router_programs_load_no_other_program_or_its_libraries() -> None:
    code = "import sys, applehub.__main__, applehub.wirehost; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    unwanted = (
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
    assert not [module for module in result.stdout.split() if module.startswith(unwanted)]


def test_deploy_file_lists_every_policy_file() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    policy_files = {str(path.relative_to(ROOT)) for path in (ROOT / "applehub" / "policy").rglob("*.py")}
    assert set(deploy["policy"]) == policy_files
