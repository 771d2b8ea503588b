"""The error of files that can't be used."""

from __future__ import annotations


class FileError(ValueError):
    """A file can't be used; the text says which, where in it and why, in one line."""


def split_location(text: str) -> tuple[str, str]:
    """The reason and the place (`$.faults[2].kind`, or empty) in the text of msgspec's ValidationError."""
    reason, _, place = text.partition(" - at `")
    return reason, place.rstrip("`")
