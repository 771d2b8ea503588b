"""The error that is raised for files that can't be read or written, or have invalid content."""

from __future__ import annotations


class FileError(ValueError):
    """A file can't be used; the message names the file, the location and the reason in one line."""


def split_location(text: str) -> tuple[str, str]:
    """Splits a msgspec ValidationError text into reason and location (`$.faults[2].kind`, or empty)."""
    reason, _, location = text.partition(" - at `")
    return reason, location.rstrip("`")
