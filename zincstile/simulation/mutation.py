"""Injects deliberate faults into the code of this process, and removes them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

Undo = Callable[[], None]  # removes a deliberate fault
Inject = Callable[[], Undo]  # injects a deliberate fault into the code


def replace_attribute(owner: Any, name: str, new: Any) -> Undo:
    """Replaces an attribute defined by the class or module itself. KeyError if it does not define it."""
    old = owner.__dict__[name]
    setattr(owner, name, new)
    return lambda: setattr(owner, name, old)


def undo_all(*undos: Undo) -> Undo:
    """Returns one function that removes several faults, in the given order."""

    def undo() -> None:
        for undo_one in undos:
            undo_one()

    return undo
