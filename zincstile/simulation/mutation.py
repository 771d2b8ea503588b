"""How a deliberate fault is put into the code of this process, and taken out again."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

Undo = Callable[[], None]  # takes a deliberate fault out again
Inject = Callable[[], Undo]  # puts a deliberate fault into the code


def replace_attribute(owner: Any, name: str, new: Any) -> Undo:
    """Replaces an attribute that a class or module itself defines. KeyError where it defines none."""
    old = owner.__dict__[name]
    setattr(owner, name, new)
    return lambda: setattr(owner, name, old)


def undo_all(*undos: Undo) -> Undo:
    """One function that takes several faults out, in their order."""

    def undo() -> None:
        for undo_one in undos:
            undo_one()

    return undo
