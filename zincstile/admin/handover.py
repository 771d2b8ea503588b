"""The hand-over file: state that a gateway process passes to its successor, and to the process that runs
beside it during an upgrade. Encodes and decodes the file's bytes; does no I/O.

The file is JSON. It is written to a temporary name and renamed, so that a reader never sees a partial file:

    {"form": 1, "gateway": "n3", "version": 7, "written_ns": 1796152608043000000, "banned": ["s-5be2a07c"],
     "ready_by": "8c1f30d27a5be964", "back": {"s-0c4419f2": 1796152599000000000},
     "boot": "0f5b...", "written_monotonic_ns": 91834000000000,
     "back_age_ns": {"s-0c4419f2": 9043000000}, "apart_ns": -1796060774043000000}

The keys are stored data and must not change. Each key, with its field in `Handover`:

    version             `version`: version of the maintenance state; the highest wins.
    banned              `under_maintenance`: names of the backend servers under maintenance.
    ready_by            `ready_process`: the process that most recently announced that it accepts clients,
                        identified by its seed, which is new at each start. A process that gets SIGTERM reads
                        it to learn whether a new process has taken over the shared socket.
    back_age_ns         `returned_age_ns`: servers that returned from maintenance and that discovery has not
                        announced as started since, with the time from their return to the writing of the
                        file. Their slow start counts from their return, in a new process too.
    apart_ns            `discovery_offset_ns`: what the writer adds to a discovery time to get a time on its
                        monotonic clock.
    boot, written_ns, written_monotonic_ns
                        `written_at`: when the file was written.
    back                The times of return as Unix time, for older versions, which don't read `back_age_ns`.

A file that no process has written for `stale_ns` is stale and is rejected: the processes that wrote it ended
long ago, and operators may have forgotten their requests. Each running process rewrites it well within that
time (`net/handover_file`). Ages are measured on the monotonic clock, so that a step of the wall clock does
not count as elapsed time.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any, Final

from .timestamp import Timestamp

FORMAT_VERSION: Final = 1  # the value of the key `form`; a file with another value is rejected
NS_PER_S: Final = 1e9

REQUIRED_KEYS: Final = (("gateway", str), ("version", int), ("written_ns", int), ("banned", list))


class HandoverError(ValueError):
    """The file is malformed, stale, or of another gateway; the message names the key."""


@dataclass(frozen=True, slots=True)
class Handover:
    """The content of the hand-over file."""

    gateway: str  # name of the gateway whose processes share the file
    version: int
    written_at: Timestamp
    under_maintenance: frozenset[str]
    ready_process: str = ""
    returned_age_ns: dict[str, int] = field(default_factory=dict)  # at `written_at`
    discovery_offset_ns: int | None = None  # None if unknown, or written before the last reboot


def encode(handover: Handover) -> bytes:
    """Returns the content of the file as bytes."""
    written_at = handover.written_at
    returned_unix_ns = {name: written_at.unix_ns - age for name, age in handover.returned_age_ns.items()}
    return json.dumps(
        {
            "form": FORMAT_VERSION,
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
    """Decodes the bytes of the file; raises HandoverError if it is malformed, stale or of another gateway.

    modified_ns: the file's modification time. A running process that can't rewrite the file sets it to its
    monotonic clock (`Host.touch`), so it counts if it lies between `written_at` and `now` on that clock.
    """
    table = _parse(data)
    _check_names(table, gateway)
    written_at = _written_at(table)
    age_ns = _age_ns(written_at, now, modified_ns)
    if age_ns > stale_ns:
        raise HandoverError(f"key written_ns: the file is stale, {age_ns / NS_PER_S:.0f} s old")
    if not isinstance(table.get("ready_by", ""), str):
        raise HandoverError("key ready_by: must be a string")
    discovery_offset_ns = table.get("apart_ns")
    if discovery_offset_ns is not None and type(discovery_offset_ns) is not int:
        raise HandoverError("key apart_ns: must be an integer")
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
    """Parses the JSON object; raises HandoverError if a required key is missing or has the wrong type."""
    try:
        table = json.loads(data)
    except (ValueError, RecursionError):
        raise HandoverError("the file is not valid JSON") from None
    if not isinstance(table, dict) or table.get("form") != FORMAT_VERSION:
        raise HandoverError("key form: must be 1")
    for key, expected_type in REQUIRED_KEYS:
        if not isinstance(table.get(key), expected_type) or isinstance(table.get(key), bool):
            raise HandoverError(f"key {key}: required, of type {expected_type.__name__}")
    return table


def _check_names(table: dict[str, Any], gateway: str) -> None:
    """Rejects the file of another gateway, and names that are not valid for a backend server."""
    if table["gateway"] != gateway:
        raise HandoverError(f"key gateway: the file belongs to another gateway, {table['gateway']!r}")
    if table["version"] < 0 or not all(_is_name(name) for name in table["banned"]):
        raise HandoverError("keys version, banned: must be 0 or more, and a list of names without spaces")


def _is_name(name: object) -> bool:
    return isinstance(name, str) and bool(name) and not any(char.isspace() for char in name)


def _age_ns(written_at: Timestamp, now: Timestamp, modified_ns: int) -> int:
    """Returns the time since a running process last wrote the file or set its modification time."""
    if now.same_boot(written_at) and written_at.monotonic_ns <= modified_ns <= now.monotonic_ns:
        return now.monotonic_ns - modified_ns
    return now.elapsed_since_ns(written_at)


def _written_at(table: dict[str, Any]) -> Timestamp:
    """Returns when the file was written; a file of an older version has the wall clock time only."""
    boot_id = table.get("boot", "")
    monotonic_ns = table.get("written_monotonic_ns", 0)
    if not isinstance(boot_id, str):
        raise HandoverError("key boot: must be a string")
    if type(monotonic_ns) is not int:
        raise HandoverError("key written_monotonic_ns: must be an integer")
    return Timestamp(monotonic_ns, table["written_ns"], boot_id)


def _returned_age_ns(table: dict[str, Any]) -> dict[str, int]:
    """Returns the ages; for a file of an older version, computes them from its wall clock times.

    A time after `written_ns`, as a step of the wall clock can cause, gives the age 0.
    """
    returned_unix_ns = table.get("back", {})
    if not _is_map_of_non_negative_integers(returned_unix_ns):
        raise HandoverError("key back: must map names to Unix times in nanoseconds")
    ages: dict[str, int] | None = table.get("back_age_ns")
    if ages is None:
        return {name: max(0, table["written_ns"] - unix_ns) for name, unix_ns in returned_unix_ns.items()}
    if not _is_map_of_non_negative_integers(ages):
        raise HandoverError("key back_age_ns: must map names to ages in nanoseconds")
    return ages


def _is_map_of_non_negative_integers(value: object) -> bool:
    """Returns whether the value is a JSON object with integer values of at least 0."""
    return isinstance(value, dict) and all(type(number) is int and number >= 0 for number in value.values())
