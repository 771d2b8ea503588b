"""Checks of settings that several features share; each raises a ValueError that names the field."""

from __future__ import annotations


def require_above_zero(settings: object, *names: str) -> None:
    """Each of these fields is at least 1."""
    for name in names:
        if getattr(settings, name) < 1:
            raise ValueError(f"{name}: must be above 0")


def require_share(settings: object, name: str) -> None:
    """The field is a share above 0 and below 1."""
    if not 0 < getattr(settings, name) < 1:
        raise ValueError(f"{name}: must be above 0 and below 1")


def require_known(settings: object, name: str, failures: tuple[str, ...]) -> None:
    """The failures that the field names are among those that there are."""
    for failure in getattr(settings, name):
        if failure not in failures:
            raise ValueError(f"{name}: no failure is called {failure!r}; there are {', '.join(failures)}")
