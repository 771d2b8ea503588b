"""docs/ARCHITECTURE.md names what is there: modules, classes, functions, packages, owners of state."""

from __future__ import annotations

import ast
import importlib
import inspect
import re
import textwrap
from pathlib import Path
from types import ModuleType

import pytest
from scenario import ROOT
from test_imports import LAYERS

PACKAGE = Path(ROOT) / "zincstile"
PAGE = Path(ROOT) / "docs" / "ARCHITECTURE.md"
DESIGN = Path(ROOT) / "docs" / "design.md"
SECTIONS = (
    "Programs",
    "Packages",
    "State",
    "The way of a request",
    "The way of a configuration change",
    "Start, shutdown, upgrade",
    "Where to change what",
)
ENTRY_MODULES = ("__main__", "serve")  # modules beside the packages
LEAST_NAMES = 100  # named on the page; fewer: they are no longer found in its text
LEAST_NAMES_OF_DESIGN = 20
LEAST_STATES = 30  # rows of the table of state
CHANGES = ("a reason of rejection", "a retry rule", "a counter", "a setting", "a feature")


class UnknownNameError(ValueError):
    """A name on the page that is not in the program or the repository."""


def packages() -> set[str]:
    """The packages of the program, without those inside them."""
    return {path.parent.name for path in PACKAGE.glob("*/__init__.py")}


def page() -> str:
    return PAGE.read_text(encoding="utf-8")


def section(title: str) -> str:
    """The text below a heading, up to the next of its level."""
    found = re.search(rf"^## {re.escape(title)}\n(.*?)(?=^## |\Z)", page(), re.M | re.S)
    assert found, f"no section {title!r}"
    return found.group(1)


def names_in(text: str) -> list[str]:
    """Names in `code` form that are paths: of the program, or of a file of the repository."""
    prose = re.sub(r"^```.*?^```$", "", text, flags=re.M | re.S)
    code = re.findall(r"`([^`\n]+)`", prose)
    entries = tuple(f"{module}." for module in ENTRY_MODULES)
    return [name for name in code if "/" in name or name.startswith(entries)]


def rows(text: str) -> list[list[str]]:
    """The cells of a table's rows, without its head."""
    lines = [line for line in text.splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines[2:]]


def resolve(name: str) -> object:
    """What a name on the page stands for; UnknownNameError where it stands for nothing.

    `package/` and `package/module.py` are a folder and a file of the program; `package/module.Class.function`
    is imported and looked up. Other paths are files of the repository.
    """
    inside = name.split("/")[0] in packages() or name.split(".")[0] in ENTRY_MODULES
    if not inside or name.endswith(("/", ".py")):
        path = (PACKAGE if inside else Path(ROOT)) / name
        if not path.exists() or name.endswith("/") != path.is_dir():
            raise UnknownNameError(f"{name}: no such file or folder")
        return path
    *folders, dotted = name.split("/")
    module_name, *attributes = dotted.split(".")
    try:
        module = importlib.import_module(".".join(["zincstile", *folders, module_name]))
    except ModuleNotFoundError as err:
        raise UnknownNameError(f"{name}: {err}") from None
    if attributes and is_imported(module, attributes[0]):
        raise UnknownNameError(f"{name}: defined in another module")
    found: object = module
    for number, attribute in enumerate(attributes):
        if hasattr(found, attribute):
            found = getattr(found, attribute)
        elif number == len(attributes) - 1 and inspect.isclass(found) and attribute in own_attributes(found):
            return attribute
        else:
            raise UnknownNameError(f"{name}: no {attribute}")
    return found


def is_imported(module: ModuleType, name: str) -> bool:
    """Whether a class or function of a module is defined in another one."""
    return getattr(getattr(module, name, None), "__module__", module.__name__) != module.__name__


def own_attributes(owner: type) -> set[str]:
    """The attributes that a class sets on `self`."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(owner)))
    stored = (node for node in ast.walk(tree) if isinstance(node, ast.Attribute))
    return {
        node.attr
        for node in stored
        if isinstance(node.ctx, ast.Store) and isinstance(node.value, ast.Name) and node.value.id == "self"
    }


@pytest.mark.parametrize(("path", "least"), [(PAGE, LEAST_NAMES), (DESIGN, LEAST_NAMES_OF_DESIGN)])
def test_every_module_class_and_function_that_is_named_exists(path: Path, least: int):
    named = names_in(path.read_text(encoding="utf-8"))
    assert len(named) >= least
    unknown = []
    for name in named:
        try:
            resolve(name)
        except UnknownNameError as err:
            unknown.append(str(err))
    assert not unknown


@pytest.mark.parametrize(
    "name",
    [
        "decisions/no_such_module.py",
        "decisions/retries.NoSuchClass",
        "decisions/retries.Retries.no_such_method",
        "decisions/retries.Retries.settings.no_such_field",
        "decisions/retries.Admission",  # imported there
        "decisions/no_such_module.Policy",
        "no_such_package/module.py",
        "no_such_package/module.Class",
        "no_such_package/",
        "serve.no_such_function",
        "docs/no-such-page.md",
    ],
)
def test_a_name_that_stands_for_nothing_is_found(name: str):
    with pytest.raises(UnknownNameError):
        resolve(name)


def test_names_stand_for_modules_methods_and_attributes():
    retries = importlib.import_module("zincstile.decisions.retries")
    serve = importlib.import_module("zincstile.serve")
    assert resolve("serve.serve") is serve.serve
    assert resolve("decisions/") == PACKAGE / "decisions"
    assert resolve("decisions/retries.py") == PACKAGE / "decisions" / "retries.py"
    assert resolve("decisions/retries.Retries.hedge") is retries.Retries.hedge
    assert resolve("decisions/retries.Retries.budget") == "budget"


@pytest.mark.parametrize("title", SECTIONS)
def test_the_page_has_its_sections(title: str):
    assert section(title).strip()


def test_the_sections_are_those_and_in_this_order():
    assert tuple(re.findall(r"^## (.*)$", page(), re.M)) == SECTIONS


def test_every_package_is_in_the_table_of_packages():
    table = section("Packages").partition("### ")[0]
    named = {name.rstrip("/") for row in rows(table) for name in names_in(row[0])}
    assert named == packages()


def test_the_picture_has_every_package_in_its_layer():
    picture = re.search(r"^```\n(.*?)^```$", section("Packages"), re.M | re.S).group(1)
    parts = {part for layer in LAYERS for part in layer} - {"__main__"}
    drawn = [parts & set(re.findall(r"\w+", line)) for line in picture.splitlines()]
    layers = [frozenset(line) for line in drawn if line]
    assert layers == [frozenset(layer) for layer in reversed(LAYERS) if layer != ("__main__",)]


def test_every_owner_in_the_table_of_state_is_a_class():
    states = rows(section("State"))
    assert len(states) >= LEAST_STATES
    for state, owner, changed_by, lifetime, stored in states:
        found = names_in(owner)
        assert len(found) == 1, f"{state}: one owner each"
        assert inspect.isclass(resolve(found[0])), f"{state}: {found[0]} is no class"
        assert changed_by and lifetime and stored, state


def test_every_part_of_the_decisions_that_keeps_state_has_its_row():
    """An owner is a class of `decisions` whose doc comment begins with "Owns "."""
    owners = set()
    for path in (PACKAGE / "decisions").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ClassDef) and (ast.get_docstring(node) or "").startswith("Owns "):
                owners.add(f"decisions/{path.stem}.{node.name}")
    listed = {name for row in rows(section("State")) for name in names_in(row[1])}
    assert owners and owners <= listed


@pytest.mark.parametrize("title", ["The way of a request", "The way of a configuration change"])
def test_each_step_names_its_function(title: str):
    numbers = re.findall(r"^(\d+)\. ", section(title), re.M)
    assert len(numbers) > 3 and numbers == [str(number + 1) for number in range(len(numbers))]
    for step in re.split(r"^\d+\. ", section(title), flags=re.M)[1:]:
        assert names_in(step.partition("\n\n")[0]), step


@pytest.mark.parametrize("change", CHANGES)
def test_where_to_change_what_has_the_usual_changes(change: str):
    found = [row for row in rows(section("Where to change what")) if row[0].startswith(change)]
    assert found
    for row in found:
        assert names_in(row[1]), row[0]


def test_the_readme_points_to_the_page_before_any_other():
    readme = (Path(ROOT) / "README.md").read_text(encoding="utf-8")
    pages = re.findall(r"\]\((docs/[^)#]+)", readme)
    assert pages[0] == "docs/ARCHITECTURE.md"


def test_the_readme_lists_every_package():
    readme = (Path(ROOT) / "README.md").read_text(encoding="utf-8")
    table = re.search(r"^## How the parts fit\n(.*?)^## ", readme, re.M | re.S).group(1)
    listed = {name for row in rows(table) for name in re.findall(r"`([^`]+)`", row[0])}
    assert listed == packages()
