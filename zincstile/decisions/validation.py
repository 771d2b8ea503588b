"""Checks of settings that several features share; each raises a ValueError that names the field."""

from __future__ import annotations

from collections.abc import Iterable


def require_above_zero(settings: object, *names: str) -> None:
    """Each of these fields is at least 1."""
    for name in names:
        if getattr(settings, name) < 1:
            raise ValueError(f"{name}: must be above 0")


def require_share(settings: object, name: str) -> None:
    """The field is a share above 0 and below 1."""
    if not 0 < getattr(settings, name) < 1:
        raise ValueError(f"{name}: must be above 0 and below 1")


def require_known(endured: Iterable[str], failures: tuple[str, ...]) -> None:
    """The failures that a bound has to endure are among those that there are."""
    for name in endured:
        if name not in failures:
            raise ValueError(f"endured: no failure is called {name!r}; there are {', '.join(failures)}")
