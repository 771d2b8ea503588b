"""Stores measurement results as typed records in JSON files; errors name file, location and reason."""

from __future__ import annotations

from pathlib import Path
from typing import Final, TypeVar

import msgspec

from .errors import FileError, split_location

Record = TypeVar("Record")

INDENT: Final = 1  # spaces per level; people read the files, which are long


def write(result: msgspec.Struct, path: str | Path) -> None:
    """Writes a result as indented JSON; raises FileError if the file can't be written."""
    try:
        Path(path).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=INDENT) + b"\n")
    except OSError as err:
        raise FileError(f"{path}: {err.strerror}") from None


def read(path: str | Path, record_type: type[Record], source: str) -> Record:
    """Reads a result that `write` wrote; `source`, for messages, names the command that creates such files.

    Raises FileError if the file can't be read or does not hold a valid record.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=record_type)
    except OSError as err:
        raise FileError(f"{path}: {err.strerror}") from None
    except msgspec.ValidationError as err:
        reason, location = split_location(str(err))
        raise FileError(f"{path}: {location or f'not a result of {source}'}: {reason}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise FileError(f"{path}: not JSON: {err}") from None
