"""The hand-over file's content: what one process of a gateway leaves for the next, and for the one beside it
during an upgrade. No I/O: the bytes of the file, and their reading.

The file is JSON, written whole under another name and renamed, so that it is read whole or not at all:

    {"form": 1, "gateway": "n3", "version": 7, "written_ns": 1796152608043000000, "banned": ["s-5be2a07c"],
     "ready_by": "8c1f30d27a5be964", "back": {"s-0c4419f2": 1796152599000000000},
     "boot": "0f5b...", "written_monotonic_ns": 91834000000000,
     "back_age_ns": {"s-0c4419f2": 9043000000}, "apart_ns": -1796060774043000000}

The keys are stored data and stay as they are. Each with its field here:

    version             `version`: of the maintenance state; the newest wins.
    banned              `under_maintenance`: names of the backend servers under maintenance.
    ready_by            `ready_process`: the process that said last that it takes clients, by its seed, which
                        is new with each start. An old process on SIGTERM learns by it whether a new one has
                        taken over the socket they share.
    back_age_ns         `returned_age_ns`: servers back from maintenance that discovery has not announced as
                        started since, and how long before the writing they came back: they warm up from
                        then, in a new process too.
    apart_ns            `discovery_offset_ns`: what the writer adds to discovery's times to have them on its
                        monotonic clock.
    boot, written_ns, written_monotonic_ns
                        `written_at`: when the file was written.
    back                The same as `back_age_ns` in Unix time, for versions that know no more.

A file that no process has written for `stale_ns` is stale: its writers are gone long ago, and operators may
have forgotten what they asked for as well. Each running process writes it anew well within that time
(`net/handover_file`). Ages go by the monotonic clock: a step of the wall clock is no time that has passed.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, Final

from .timestamp import Timestamp

FORM: Final = 1  # of the file; a file of another form is not read
NS_PER_S: Final = 1e9

REQUIRED_KEYS: Final = (("gateway", str), ("version", int), ("written_ns", int), ("banned", list))


class HandoverError(ValueError):
    """A file that is spoilt, of another gateway, or stale; the text says which, and at which key."""


@dataclass(frozen=True, slots=True)
class Handover:
    """The file's content."""

    gateway: str  # the name of the gateway whose processes share the file
    version: int
    written_at: Timestamp
    under_maintenance: frozenset[str]
    ready_process: str = ""
    returned_age_ns: dict[str, int] = field(default_factory=dict)  # as of the writing
    discovery_offset_ns: int | None = None  # None: not known, or of another run of the machine


def encode(handover: Handover) -> bytes:
    """Returns the bytes of the file."""
    written_at = handover.written_at
    returned_unix_ns = {name: written_at.unix_ns - age for name, age in handover.returned_age_ns.items()}
    return json.dumps(
        {
            "form": FORM,
            "gateway": handover.gateway,
            "version": handover.version,
            "written_ns": written_at.unix_ns,
            "banned": sorted(handover.under_maintenance),
            "ready_by": handover.ready_process,
            "back": returned_unix_ns,
            "boot": written_at.boot_id,
            "written_monotonic_ns": written_at.monotonic_ns,
            "back_age_ns": handover.returned_age_ns,
            "apart_ns": handover.discovery_offset_ns,
        }
    ).encode()


def decode(data: bytes, gateway: str, now: Timestamp, stale_ns: int, modified_ns: int = 0) -> Handover:
    """Reads the bytes of the file; raises HandoverError where they can't be trusted.

    modified_ns: the file's own date. Where it lies between the writing and now on the monotonic clock, a
    running process put it there (`Host.touch`).
    """
    table = _parse(data)
    _check_names(table, gateway)
    written_at = _written_at(table)
    age_ns = _age_ns(written_at, now, modified_ns)
    if age_ns > stale_ns:
        raise HandoverError(f"key written_ns: stale, {age_ns / NS_PER_S:.0f} s old")
    if not isinstance(table.get("ready_by", ""), str):
        raise HandoverError("key ready_by: not a string")
    discovery_offset_ns = table.get("apart_ns")
    if discovery_offset_ns is not None and type(discovery_offset_ns) is not int:
        raise HandoverError("key apart_ns: not a whole number")
    return Handover(
        gateway=table["gateway"],
        version=table["version"],
        written_at=written_at,
        under_maintenance=frozenset(table["banned"]),
        ready_process=table.get("ready_by", ""),
        returned_age_ns=_returned_age_ns(table),
        discovery_offset_ns=discovery_offset_ns if now.same_boot(written_at) else None,
    )


def _parse(data: bytes) -> dict[str, Any]:
    """Returns the file's object with all keys that it must have, each of its type."""
    try:
        table = json.loads(data)
    except (ValueError, RecursionError):
        raise HandoverError("not JSON") from None
    if not isinstance(table, dict) or table.get("form") != FORM:
        raise HandoverError("key form: not 1")
    for key, kind in REQUIRED_KEYS:
        if not isinstance(table.get(key), kind) or isinstance(table.get(key), bool):
            raise HandoverError(f"key {key}: missing or not a {kind.__name__}")
    return table


def _check_names(table: dict[str, Any], gateway: str) -> None:
    """Refuses another gateway's file, and names that no backend server can have."""
    if table["gateway"] != gateway:
        raise HandoverError(f"key gateway: {table['gateway']!r} is another gateway's")
    if table["version"] < 0 or not all(_is_name(name) for name in table["banned"]):
        raise HandoverError("key banned: not a list of names")


def _is_name(name: object) -> bool:
    return isinstance(name, str) and bool(name) and not any(char.isspace() for char in name)


def _age_ns(written_at: Timestamp, now: Timestamp, modified_ns: int) -> int:
    """Returns how long ago a running process wrote the file, or dated it."""
    if now.same_boot(written_at) and written_at.monotonic_ns <= modified_ns <= now.monotonic_ns:
        return now.monotonic_ns - modified_ns
    return now.elapsed_since_ns(written_at)


def _written_at(table: dict[str, Any]) -> Timestamp:
    """Returns when the file was written; by the wall clock alone where an earlier version wrote it."""
    boot_id = table.get("boot", "")
    monotonic_ns = table.get("written_monotonic_ns", 0)
    if not isinstance(boot_id, str):
        raise HandoverError("key boot: not a string")
    if type(monotonic_ns) is not int:
        raise HandoverError("key written_monotonic_ns: not a whole number")
    return Timestamp(monotonic_ns, table["written_ns"], boot_id)


def _returned_age_ns(table: dict[str, Any]) -> dict[str, int]:
    """Returns the ages; in a file of an earlier version, from times by the wall clock that wrote it.

    A time that lies behind the writing by a step of that clock counts as just now.
    """
    returned_unix_ns = table.get("back", {})
    if not _is_map_of_counts(returned_unix_ns):
        raise HandoverError("key back: not names and times")
    ages: dict[str, int] | None = table.get("back_age_ns")
    if ages is None:
        return {name: max(0, table["written_ns"] - at_ns) for name, at_ns in returned_unix_ns.items()}
    if not _is_map_of_counts(ages):
        raise HandoverError("key back_age_ns: not names and ages")
    return ages


def _is_map_of_counts(value: object) -> bool:
    """Tells whether a value is an object whose members are whole numbers from 0 up."""
    return isinstance(value, dict) and all(type(count) is int and count >= 0 for count in value.values())
