"""YAML files to typed settings, with errors that name file, line, place and reason.

Reads one file and nothing else. Stands on PyYAML (its marks tell the lines) and msgspec (its paths tell the
places); only commands and installations that switch such a file on load it.
"""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec
import yaml

T = TypeVar("T")
LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)  # by libyaml where it is there: a start waits for it


class FileError(ValueError):
    """The file can't be used; the text says where and why in one line."""


def load(path: str | Path, kind: type[T]) -> T:
    """The file as that type. FileError where it can't be read or does not fit."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise FileError(f"{path}: {getattr(err, 'strerror', None) or 'not UTF-8'}") from None
    return parse(text, str(path), kind)


def parse(text: str, path: str, kind: type[T]) -> T:
    """A text as that type; `path` is for the messages."""
    try:
        node = yaml.compose(text, Loader=LOADER)
        table = yaml.load(text, Loader=LOADER)
    except yaml.MarkedYAMLError as err:
        line = err.problem_mark.line + 1 if err.problem_mark else 1
        raise FileError(f"{path}:{line}: not YAML: {err.problem}") from None
    except (yaml.YAMLError, RecursionError, ValueError) as err:
        raise FileError(f"{path}: not YAML: {' '.join(str(err).split())}") from None
    try:
        return msgspec.convert(table, kind)
    except msgspec.ValidationError as err:
        reason, _, place = str(err).partition(" - at `")
        place = place.rstrip("`")
        raise FileError(f"{path}:{line_of(node, place)}: {place or '$'}: {reason}") from None


def line_of(node: yaml.Node | None, place: str) -> int:
    """Line of a place as msgspec names it (`$.faults[2].kind`), or of the nearest one that is there."""
    line = 1
    for part in place.removeprefix("$").replace("[", ".[").strip(".").split("."):
        if node is None or not part:
            break
        line = node.start_mark.line + 1
        found = None
        if part.startswith("[") and isinstance(node, yaml.SequenceNode):
            number = part[1:-1]
            found = node.value[int(number)] if number.isdigit() and int(number) < len(node.value) else None
        elif isinstance(node, yaml.MappingNode):
            found = next((v for k, v in node.value if k.value == part), None)
        node = found
    return node.start_mark.line + 1 if node is not None else line
