"""Validation of settings, shared by several features. Each function raises ValueError, naming the field."""

from __future__ import annotations


def require_above_zero(settings: object, *names: str) -> None:
    """Requires each of these fields to be at least 1."""
    for name in names:
        if getattr(settings, name) < 1:
            raise ValueError(f"{name}: must be above 0")


def require_share(settings: object, name: str) -> None:
    """Requires the field to be above 0 and below 1."""
    if not 0 < getattr(settings, name) < 1:
        raise ValueError(f"{name}: must be above 0 and below 1")


def require_known(settings: object, name: str, failures: tuple[str, ...]) -> None:
    """Requires each failure that the field lists to be one of `failures`."""
    for failure in getattr(settings, name):
        if failure not in failures:
            raise ValueError(f"{name}: no failure is called {failure!r}; there are {', '.join(failures)}")
