"""Results of measurements as JSON files of typed records; errors name file, place and reason."""

from __future__ import annotations

from pathlib import Path
from typing import Final, TypeVar

import msgspec

from .errors import FileError, split_location

Record = TypeVar("Record")

INDENT: Final = 1  # spaces a level: the files are read by people too, and long


def write(result: msgspec.Struct, path: str | Path) -> None:
    """Write a result as indented JSON; FileError where the file can't be written."""
    try:
        Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=INDENT) + b"\n")
    except OSError as err:
        raise FileError(f"{path}: {err.strerror}") from None


def read(path: str | Path, kind: type[Record], source: str) -> Record:
    """Read a result of that type which `write` wrote; `source` names the command that writes such files.

    Raises FileError where it can't be read or is none.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=kind)
    except OSError as err:
        raise FileError(f"{path}: {err.strerror}") from None
    except msgspec.ValidationError as err:
        reason, place = split_location(str(err))
        raise FileError(f"{path}: {place or f'not a result of {source}'}: {reason}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise FileError(f"{path}: not JSON: {err}") from None
