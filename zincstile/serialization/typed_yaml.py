"""YAML files to typed records; errors name file, line, place and reason.

Reads one file and nothing else. Uses PyYAML, whose marks give the lines, and msgspec, whose paths give the
places; only commands and installations that need such a file load this module.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final, TypeVar

import msgspec
import yaml

from .errors import FileError, split_location

Record = TypeVar("Record")

LOADER: Final = getattr(yaml, "CSafeLoader", yaml.SafeLoader)  # libyaml's where it is there: a start waits


def load(path: str | Path, kind: type[Record]) -> Record:
    """Read the file as that type; FileError where it can't be read or does not fit."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise FileError(f"{path}: {getattr(err, 'strerror', None) or 'not UTF-8'}") from None
    return parse(text, str(path), kind)


def parse(text: str, path: str, kind: type[Record]) -> Record:
    """Read a text as that type; `path` is for the messages of the FileError."""
    try:
        node = yaml.compose(text, Loader=LOADER)
        value = yaml.load(text, Loader=LOADER)
    except yaml.MarkedYAMLError as err:
        line = err.problem_mark.line + 1 if err.problem_mark else 1
        raise FileError(f"{path}:{line}: not YAML: {err.problem}") from None
    except (yaml.YAMLError, RecursionError, ValueError) as err:
        raise FileError(f"{path}: not YAML: {' '.join(str(err).split())}") from None
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as err:
        reason, place = split_location(str(err))
        raise FileError(f"{path}:{_line_of(node, place)}: {place or '$'}: {reason}") from None


def line_of(path: str | Path, place: str) -> int:
    """The line of a place (`$.faults[2].kind`) in a file that was loaded, or of the nearest one in it."""
    return _line_of(yaml.compose(Path(path).read_text(encoding="utf-8"), Loader=LOADER), place)


def _line_of(node: yaml.Node | None, place: str) -> int:
    line = 1
    for part in place.removeprefix("$").replace("[", ".[").strip(".").split("."):
        if node is None or not part:
            break
        line = node.start_mark.line + 1
        node = _child(node, part)
    return node.start_mark.line + 1 if node is not None else line


def _child(node: yaml.Node, part: str) -> yaml.Node | None:
    """The value under a key, or under an index in brackets; None where there is none."""
    if part.startswith("[") and isinstance(node, yaml.SequenceNode):
        index = part[1:-1]
        return node.value[int(index)] if index.isdigit() and int(index) < len(node.value) else None
    if isinstance(node, yaml.MappingNode):
        return next((value for key, value in node.value if key.value == part), None)
    return None
