"""Checks docs/ARCHITECTURE.md against the program: modules, classes, functions, packages, owners of state."""

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

PACKAGE_FOLDER = Path(ROOT) / "zincstile"
ARCHITECTURE_PAGE = Path(ROOT) / "docs" / "ARCHITECTURE.md"
DESIGN_PAGE = Path(ROOT) / "docs" / "design.md"
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
# With fewer names or rows than these the tests no longer find them in the text of the page.
MIN_NAMES = 100
MIN_NAMES_OF_DESIGN = 20
MIN_STATES = 30  # rows of the table of state
USUAL_CHANGES = ("a reason of rejection", "a retry rule", "a counter", "a setting", "a feature")


class UnknownNameError(ValueError):
    """A name on a page refers to nothing in the program or the repository."""


def packages() -> set[str]:
    """The top-level packages of the program."""
    return {path.parent.name for path in PACKAGE_FOLDER.glob("*/__init__.py")}


def page_text() -> str:
    return ARCHITECTURE_PAGE.read_text(encoding="utf-8")


def section_text(title: str) -> str:
    """The text from a heading to the next heading of the same level."""
    match = re.search(rf"^## {re.escape(title)}\n(.*?)(?=^## |\Z)", page_text(), re.M | re.S)
    assert match, f"no section {title!r}"
    return match.group(1)


def names_in(text: str) -> list[str]:
    """The names in backquotes that are paths, either in the program or to a file of the repository."""
    prose = re.sub(r"^```.*?^```$", "", text, flags=re.M | re.S)
    code = re.findall(r"`([^`\n]+)`", prose)
    entries = tuple(f"{module}." for module in ENTRY_MODULES)
    return [name for name in code if "/" in name or name.startswith(entries)]


def table_rows(text: str) -> list[list[str]]:
    """The cells of each table row, without the header."""
    lines = [line for line in text.splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines[2:]]


def resolve(name: str) -> object:
    """The object or path that a name on a page refers to; raises UnknownNameError if there is none.

    `package/` and `package/module.py` are a folder and a file of the program; `package/module.Class.function`
    is imported and looked up. Other names are paths of files of the repository.
    """
    in_program = name.split("/")[0] in packages() or name.split(".")[0] in ENTRY_MODULES
    if not in_program or name.endswith(("/", ".py")):
        path = (PACKAGE_FOLDER if in_program else Path(ROOT)) / name
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
    target: object = module
    for number, attribute in enumerate(attributes):
        if hasattr(target, attribute):
            target = getattr(target, attribute)
        elif (
            number == len(attributes) - 1 and inspect.isclass(target) and attribute in own_attributes(target)
        ):
            return attribute
        else:
            raise UnknownNameError(f"{name}: no attribute {attribute}")
    return target


def is_imported(module: ModuleType, name: str) -> bool:
    """Whether a name in a module is a class or function defined in another module."""
    return getattr(getattr(module, name, None), "__module__", module.__name__) != module.__name__


def own_attributes(owner: type) -> set[str]:
    """The attributes that a class assigns on `self`."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(owner)))
    attributes = (node for node in ast.walk(tree) if isinstance(node, ast.Attribute))
    return {
        node.attr
        for node in attributes
        if isinstance(node.ctx, ast.Store) and isinstance(node.value, ast.Name) and node.value.id == "self"
    }


@pytest.mark.parametrize(
    ("path", "min_names"), [(ARCHITECTURE_PAGE, MIN_NAMES), (DESIGN_PAGE, MIN_NAMES_OF_DESIGN)]
)
def test_every_module_class_and_function_named_on_a_page_exists(path: Path, min_names: int):
    named = names_in(path.read_text(encoding="utf-8"))
    assert len(named) >= min_names
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
        "decisions/retries.Admission",  # defined in another module
        "decisions/no_such_module.Policy",
        "no_such_package/module.py",
        "no_such_package/module.Class",
        "no_such_package/",
        "serve.no_such_function",
        "docs/no-such-page.md",
    ],
)
def test_a_name_that_refers_to_nothing_is_reported(name: str):
    with pytest.raises(UnknownNameError):
        resolve(name)


def test_names_resolve_to_modules_methods_and_attributes():
    retries = importlib.import_module("zincstile.decisions.retries")
    serve = importlib.import_module("zincstile.serve")
    assert resolve("serve.serve") is serve.serve
    assert resolve("decisions/") == PACKAGE_FOLDER / "decisions"
    assert resolve("decisions/retries.py") == PACKAGE_FOLDER / "decisions" / "retries.py"
    assert resolve("decisions/retries.Retries.hedge") is retries.Retries.hedge
    assert resolve("decisions/retries.Retries.budget") == "budget"


@pytest.mark.parametrize("title", SECTIONS)
def test_no_section_of_the_page_is_missing_or_empty(title: str):
    assert section_text(title).strip()


def test_the_page_has_exactly_these_sections_in_this_order():
    assert tuple(re.findall(r"^## (.*)$", page_text(), re.M)) == SECTIONS


def test_the_table_of_packages_lists_every_package():
    table = section_text("Packages").partition("### ")[0]
    named = {name.rstrip("/") for row in table_rows(table) for name in names_in(row[0])}
    assert named == packages()


def test_the_diagram_shows_every_package_in_its_layer():
    diagram = re.search(r"^```\n(.*?)^```$", section_text("Packages"), re.M | re.S).group(1)
    layer_members = {member for layer in LAYERS for member in layer} - {"__main__"}
    members_by_line = [layer_members & set(re.findall(r"\w+", line)) for line in diagram.splitlines()]
    layers = [frozenset(line) for line in members_by_line if line]
    assert layers == [frozenset(layer) for layer in reversed(LAYERS) if layer != ("__main__",)]


def test_each_row_of_the_table_of_state_names_one_class_as_owner():
    states = table_rows(section_text("State"))
    assert len(states) >= MIN_STATES
    for state, owner, changed_by, lifetime, stored in states:
        owner_names = names_in(owner)
        assert len(owner_names) == 1, f"{state}: expected exactly one owner"
        assert inspect.isclass(resolve(owner_names[0])), f"{state}: {owner_names[0]} is not a class"
        assert changed_by and lifetime and stored, state


def test_every_class_of_decisions_that_owns_state_is_in_the_table_of_state():
    """Owners are the classes of `decisions` whose doc comment begins with `Owns `."""
    owners = set()
    for path in (PACKAGE_FOLDER / "decisions").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ClassDef) and (ast.get_docstring(node) or "").startswith("Owns "):
                owners.add(f"decisions/{path.stem}.{node.name}")
    listed = {name for row in table_rows(section_text("State")) for name in names_in(row[1])}
    assert owners and owners <= listed


@pytest.mark.parametrize("title", ["The way of a request", "The way of a configuration change"])
def test_steps_are_numbered_in_order_and_each_names_its_function(title: str):
    numbers = re.findall(r"^(\d+)\. ", section_text(title), re.M)
    assert len(numbers) > 3 and numbers == [str(number + 1) for number in range(len(numbers))]
    for step in re.split(r"^\d+\. ", section_text(title), flags=re.M)[1:]:
        assert names_in(step.partition("\n\n")[0]), step


@pytest.mark.parametrize("change", USUAL_CHANGES)
def test_the_table_of_changes_says_where_to_make_each_usual_change(change: str):
    matching_rows = [
        row for row in table_rows(section_text("Where to change what")) if row[0].startswith(change)
    ]
    assert matching_rows
    for row in matching_rows:
        assert names_in(row[1]), row[0]


def test_the_first_page_that_the_readme_links_is_the_architecture_page():
    readme = (Path(ROOT) / "README.md").read_text(encoding="utf-8")
    pages = re.findall(r"\]\((docs/[^)#]+)", readme)
    assert pages[0] == "docs/ARCHITECTURE.md"


def test_the_readme_lists_every_package():
    readme = (Path(ROOT) / "README.md").read_text(encoding="utf-8")
    table = re.search(r"^## How the parts fit\n(.*?)^## ", readme, re.M | re.S).group(1)
    listed = {name for row in table_rows(table) for name in re.findall(r"`([^`]+)`", row[0])}
    assert listed == packages()
