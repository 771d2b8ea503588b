"""Results of measurements as JSON files of typed records, with errors that name file, place and reason."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from .typed_yaml import FileError

T = TypeVar("T")


def write(result: msgspec.Struct, path: str | Path) -> None:
    """The result as indented JSON. FileError where the file can't be written."""
    try:
        Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    except OSError as err:
        raise FileError(f"{path}: {err.strerror}") from None


def read(path: str | Path, kind: type[T], source: str) -> T:
    """A result of `write`, of that type; `source` names the command that writes such files. FileError where
    it can't be read or is none."""
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=kind)
    except OSError as err:
        raise FileError(f"{path}: {err.strerror}") from None
    except msgspec.ValidationError as err:
        reason, _, place = str(err).partition(" - at `")
        where = place.rstrip("`") or f"not a result of {source}"
        raise FileError(f"{path}: {where}: {reason}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise FileError(f"{path}: not JSON: {err}") from None
