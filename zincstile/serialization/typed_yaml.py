"""Loads YAML files into typed records; errors name file, line, location and reason.

PyYAML's marks give the lines, and msgspec's paths give the locations. The module is imported only where a
YAML file is needed, so that other commands and installations don't need PyYAML.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final, TypeVar

import msgspec
import yaml

from .errors import FileError, split_location

Record = TypeVar("Record")

# Prefers the faster loader of libyaml if it is installed: a starting process waits for the file.
LOADER: Final = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def load(path: str | Path, record_type: type[Record]) -> Record:
    """Loads a file as a record; raises FileError if it can't be read or does not match the type."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise FileError(f"{path}: {getattr(err, 'strerror', None) or 'not UTF-8'}") from None
    return parse(text, str(path), record_type)


def parse(text: str, path: str, record_type: type[Record]) -> Record:
    """Parses a text as a record; raises FileError, whose message begins with `path`."""
    try:
        node = yaml.compose(text, Loader=LOADER)
        value = yaml.load(text, Loader=LOADER)
    except yaml.MarkedYAMLError as err:
        line = err.problem_mark.line + 1 if err.problem_mark else 1
        raise FileError(f"{path}:{line}: not YAML: {err.problem}") from None
    except (yaml.YAMLError, RecursionError, ValueError) as err:
        raise FileError(f"{path}: not YAML: {' '.join(str(err).split())}") from None
    try:
        return msgspec.convert(value, record_type)
    except msgspec.ValidationError as err:
        reason, location = split_location(str(err))
        raise FileError(f"{path}:{_line_of(node, location)}: {location or '$'}: {reason}") from None


def line_of(path: str | Path, location: str) -> int:
    """Returns the line of a location (`$.faults[2].kind`) in a file, or of its closest parent there."""
    return _line_of(yaml.compose(Path(path).read_text(encoding="utf-8"), Loader=LOADER), location)


def _line_of(node: yaml.Node | None, location: str) -> int:
    line = 1
    for part in location.removeprefix("$").replace("[", ".[").strip(".").split("."):
        if node is None or not part:
            break
        line = node.start_mark.line + 1
        node = _child(node, part)
    return node.start_mark.line + 1 if node is not None else line


def _child(node: yaml.Node, part: str) -> yaml.Node | None:
    """Returns the value under a key, or under an index in brackets; None if there is none."""
    if part.startswith("[") and isinstance(node, yaml.SequenceNode):
        index = part[1:-1]
        return node.value[int(index)] if index.isdigit() and int(index) < len(node.value) else None
    if isinstance(node, yaml.MappingNode):
        return next((value for key, value in node.value if key.value == part), None)
    return None
