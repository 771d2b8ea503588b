"""Imports follow the layers: no import cycle, and no package imports from a layer above its own.

Imports are read with `ast`, so that those inside functions and under TYPE_CHECKING count too.
"""

from __future__ import annotations

import ast
import importlib
from pathlib import Path

import pytest
from scenario import ROOT

PACKAGE = "zincstile"
# From the lowest to the highest. A component (a top-level package or a module next to `__main__`) imports
# from itself and from lower layers, never from another component of its own layer.
LAYERS = (
    ("serialization",),
    ("decisions",),
    ("simulator", "admin", "quota_service", "leases", "zone_failover", "cold_start", "subsetting"),
    ("net",),
    ("virtual", "emulators", "checkers"),
    ("simulation", "serve"),
    ("testbed",),
    ("scale",),
    ("cli",),
    ("__main__",),
)


def module_paths() -> dict[str, Path]:
    """The path of each module by its full name; `__init__` goes by the name of its package."""
    paths = {}
    for path in sorted((Path(ROOT) / PACKAGE).rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        paths[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return paths


def imported_modules(name: str, path: Path, known_modules: dict[str, Path]) -> set[str]:
    """The modules of this program that a module imports anywhere in its source."""
    modules = set()
    enclosing_package = name.split(".") if path.name == "__init__.py" else name.split(".")[:-1]
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names if alias.name in known_modules}
        elif isinstance(node, ast.ImportFrom):
            base = enclosing_package[: len(enclosing_package) + 1 - node.level] if node.level else []
            source = ".".join([*base, *([node.module] if node.module else [])])
            if source in known_modules:
                imported_names = (f"{source}.{alias.name}" for alias in node.names)
                modules |= {
                    full_name if full_name in known_modules else source for full_name in imported_names
                }
    return modules


def import_graph() -> dict[str, set[str]]:
    """The imports of each module; for the command line also the modules that it loads by name."""
    known_modules = module_paths()
    graph = {name: imported_modules(name, path, known_modules) for name, path in known_modules.items()}
    commands = importlib.import_module(f"{PACKAGE}.cli.commands")
    graph[commands.__name__] |= {f"{PACKAGE}.cli.{module}" for module, _ in commands.COMMANDS.values()}
    return graph


def find_cycle(edges: dict[str, set[str]]) -> list[str]:
    """One import cycle as the path from a module back to itself; empty if there is none."""
    acyclic: set[str] = set()

    def follow(name: str, path: list[str]) -> list[str]:
        if name in path:
            return [*path[path.index(name) :], name]
        if name in acyclic:
            return []
        for imported in sorted(edges[name]):
            cycle = follow(imported, [*path, name])
            if cycle:
                return cycle
        acyclic.add(name)
        return []

    return next((cycle for name in sorted(edges) if (cycle := follow(name, []))), [])


def component(module: str) -> str:
    """The top-level package or module that a module belongs to; empty for the program itself."""
    return (module.split(".") + [""])[1]


def upward_imports(edges: dict[str, set[str]]) -> list[str]:
    """Imports that do not lead to a lower layer, one text each."""
    rank = {name: number for number, layer in enumerate(LAYERS) for name in layer} | {"": -1}
    violations = []
    for module, imports in sorted(edges.items()):
        for imported in sorted(imports):
            importer, target = component(module), component(imported)
            if importer != target and not rank[target] < rank[importer]:
                violations.append(f"{module} imports {imported}")
    return violations


def test_each_component_has_a_layer():
    missing = (
        {component(name) for name in import_graph()} - {name for layer in LAYERS for name in layer} - {""}
    )
    assert not missing, f"components missing from LAYERS: {sorted(missing)}"


def test_there_is_no_import_cycle():
    assert find_cycle(import_graph()) == []


def test_no_component_imports_from_its_own_or_a_higher_layer():
    assert upward_imports(import_graph()) == []


@pytest.mark.parametrize(
    ("edges", "cycle"),
    [
        ({"a": {"b"}, "b": {"c"}, "c": set()}, []),
        ({"a": {"b", "c"}, "b": {"c"}, "c": set()}, []),
        ({"a": {"a"}}, ["a", "a"]),
        ({"a": {"b"}, "b": {"c"}, "c": {"b"}}, ["b", "c", "b"]),
    ],
)
def test_a_cycle_is_found_and_a_module_imported_twice_is_not_one(edges, cycle):
    assert find_cycle(edges) == cycle


def test_an_import_from_a_higher_or_the_same_layer_is_reported():
    edges = {
        f"{PACKAGE}.decisions.records": {f"{PACKAGE}.net.http"},
        f"{PACKAGE}.net.http": {f"{PACKAGE}.decisions.records"},
    }
    assert upward_imports(edges) == [f"{PACKAGE}.decisions.records imports {PACKAGE}.net.http"]
    assert upward_imports({f"{PACKAGE}.zone_failover.view": {f"{PACKAGE}.cold_start.codec"}}) != []


@pytest.mark.parametrize(
    "statement",
    [
        "from .clock import Scheduler",
        "from . import clock",
        "from ..virtual import clock",
        "import zincstile.virtual.clock",
        "from zincstile.virtual.clock import Scheduler as Clock",
        "def later():\n    from .clock import Scheduler",
        "if TYPE_CHECKING:\n    from .clock import Scheduler",
    ],
)
def test_every_form_of_import_is_recognized(tmp_path, statement):
    path = tmp_path / "one.py"
    path.write_text(statement + "\n")
    known_modules = {f"{PACKAGE}.virtual.clock": path, f"{PACKAGE}.virtual": path}
    assert imported_modules(f"{PACKAGE}.virtual.one", path, known_modules) == {f"{PACKAGE}.virtual.clock"}
