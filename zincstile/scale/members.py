"""One gateway of a scale run, over all of its processes. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from typing import Any

from .records import Kind
from .verdicts import Incarnation


def name_of(number: int) -> str:
    """As the gateway's configuration names it."""
    return f"g{number}"


@dataclass(eq=False)
class Member:
    """One gateway over all of its processes."""

    number: int
    kind: Kind
    zone: str
    listen: tuple[str, int]
    config: Path
    loaded: bool = False
    starts: int = 0
    ready: bool = False  # it has the endpoint table
    thread: int = 0  # of a hollow gateway
    incarnations: list[Incarnation] = field(default_factory=list)
    counters: dict[str, Any] = field(default_factory=dict)  # as last printed by its present process

    @property
    def name(self) -> str:
        """As the log has it."""
        return name_of(self.number)

    @property
    def incarnation(self) -> Incarnation | None:
        """Its present process, where that listens."""
        return self.incarnations[-1] if self.incarnations and self.incarnations[-1].down_s == inf else None
