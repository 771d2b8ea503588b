"""Imports point down: no circle between modules, and no package that imports from a layer above its own.

Read with `ast`, so that imports inside functions and under TYPE_CHECKING count like any other.
"""

from __future__ import annotations

import ast
import importlib
from pathlib import Path

import pytest
from scenario import ROOT

PACKAGE = "zincstile"
# From the lowest to the highest. A part (a package, or a module beside `__main__`) imports from itself and
# from the layers below; parts of one layer do not know each other.
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


def sources() -> dict[str, Path]:
    """Path of each module by its full name; a package goes by its own name."""
    found = {}
    for path in sorted((Path(ROOT) / PACKAGE).rglob("*.py")):
        parts = path.relative_to(ROOT).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported(name: str, path: Path, known: dict[str, Path]) -> set[str]:
    """The modules of this package that a module imports, wherever in its text."""
    found = set()
    inside = name.split(".") if path.name == "__init__.py" else name.split(".")[:-1]
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names if alias.name in known}
        elif isinstance(node, ast.ImportFrom):
            above = inside[: len(inside) + 1 - node.level] if node.level else []
            source = ".".join([*above, *([node.module] if node.module else [])])
            if source in known:
                names = (f"{source}.{alias.name}" for alias in node.names)
                found |= {full if full in known else source for full in names}
    return found


def graph() -> dict[str, set[str]]:
    """For each module those that it imports; for the command line also those that it loads by name."""
    known = sources()
    found = {name: imported(name, path, known) for name, path in known.items()}
    commands = importlib.import_module(f"{PACKAGE}.cli.commands")
    found[commands.__name__] |= {f"{PACKAGE}.cli.{module}" for module, _ in commands.GROUPS.values()}
    return found


def circle(edges: dict[str, set[str]]) -> list[str]:
    """One circle, as a way from a module back to itself; empty where there is none."""
    done: set[str] = set()

    def follow(name: str, way: list[str]) -> list[str]:
        if name in way:
            return [*way[way.index(name) :], name]
        if name in done:
            return []
        for other in sorted(edges[name]):
            found = follow(other, [*way, name])
            if found:
                return found
        done.add(name)
        return []

    return next((found for name in sorted(edges) if (found := follow(name, []))), [])


def part(module: str) -> str:
    """The package or top module that a module belongs to; empty for the whole package itself."""
    return (module.split(".") + [""])[1]


def upward(edges: dict[str, set[str]]) -> list[str]:
    """Imports that do not point down, each as a line."""
    rank = {name: number for number, layer in enumerate(LAYERS) for name in layer} | {"": -1}
    found = []
    for module, others in sorted(edges.items()):
        for other in sorted(others):
            here, there = part(module), part(other)
            if here != there and not rank[there] < rank[here]:
                found.append(f"{module} imports {other}")
    return found


def test_each_part_of_the_package_has_a_layer():
    missing = {part(name) for name in graph()} - {name for layer in LAYERS for name in layer} - {""}
    assert not missing, f"parts without a place in LAYERS: {sorted(missing)}"


def test_no_module_imports_itself_through_others():
    assert circle(graph()) == []


def test_imports_point_down():
    assert upward(graph()) == []


@pytest.mark.parametrize(
    ("edges", "found"),
    [
        ({"a": {"b"}, "b": {"c"}, "c": set()}, []),
        ({"a": {"b", "c"}, "b": {"c"}, "c": set()}, []),
        ({"a": {"a"}}, ["a", "a"]),
        ({"a": {"b"}, "b": {"c"}, "c": {"b"}}, ["b", "c", "b"]),
    ],
)
def test_a_circle_is_found_and_a_shared_module_is_none(edges, found):
    assert circle(edges) == found


def test_an_import_of_a_higher_layer_is_found():
    edges = {
        f"{PACKAGE}.decisions.records": {f"{PACKAGE}.net.http"},
        f"{PACKAGE}.net.http": {f"{PACKAGE}.decisions.records"},
    }
    assert upward(edges) == [f"{PACKAGE}.decisions.records imports {PACKAGE}.net.http"]
    assert upward({f"{PACKAGE}.zone_failover.view": {f"{PACKAGE}.cold_start.codec"}}) != []


@pytest.mark.parametrize(
    "line",
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
def test_an_import_is_seen_in_each_form(tmp_path, line):
    path = tmp_path / "one.py"
    path.write_text(line + "\n")
    known = {f"{PACKAGE}.virtual.clock": path, f"{PACKAGE}.virtual": path}
    assert imported(f"{PACKAGE}.virtual.one", path, known) == {f"{PACKAGE}.virtual.clock"}
