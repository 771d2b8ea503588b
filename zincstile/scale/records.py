"""Typed records of a scale measurement, and their JSON file.

No clock, no processes: who measures fills them in, who fits or prints reads them.
"""

from __future__ import annotations

import enum
from pathlib import Path

import msgspec

from ..serialization import typed_json


class Dimension(enum.Enum):
    """What is varied while all other sizes are held."""

    BACKENDS = "backends"  # entries of the endpoint table
    GATEWAYS = "gateways"  # peers in the configuration, the measured gateway among them
    TENANTS = "tenants"  # tenants that send requests to one gateway
    REQUESTS_PER_S = "requests_per_s"  # client requests of one gateway
    TABLE_CHANGES_PER_S = "table_changes_per_s"  # changes of the endpoint table, each in a message of its own
    CONFIG_CHANGES_PER_S = "config_changes_per_s"  # reloads of the configuration by SIGHUP


class Kind(enum.Enum):
    """What gave a figure."""

    REAL = "real"  # a process, started by the deploy file's line `run`
    HOLLOW = "hollow"  # the control side alone, many gateways in one process


class Figure(enum.Enum):
    """What is measured of one gateway. Shares are of one core; seconds unless the name says otherwise."""

    MEMORY_BYTES = "memory_bytes"  # resident after settling (VmRSS); hollow: growth of it by each gateway
    CPU_REST_SHARE = "cpu_rest_share"  # no changes, no requests
    CPU_SHARE = "cpu_share"  # with the activity of the dimension
    CPU_PER_CHANGE_S = "cpu_per_change_s"  # above the share at rest, for each change
    CPU_PER_REQUEST_S = "cpu_per_request_s"  # above the share at rest, for each request
    CPU_PER_MESSAGE_S = "cpu_per_message_s"  # above the share at rest, for each datagram that came in
    BYTES_IN_PER_S = "bytes_in_per_s"  # control traffic: discovery and datagrams of gateways
    BYTES_OUT_PER_S = "bytes_out_per_s"  # the same, sent
    DATAGRAMS_IN_PER_S = "datagrams_in_per_s"
    DATAGRAMS_OUT_PER_S = "datagrams_out_per_s"
    # From a change being sent until it is in force at the gateway. Table: until a second PING behind it is
    # answered, which can't be before the batch that decides on it. Configuration: until the new discovery is
    # asked.
    IN_FORCE_P50_S = "in_force_p50_s"
    IN_FORCE_P99_S = "in_force_p99_s"
    IN_FORCE_LAST_S = "in_force_last_s"
    MASS_FAILURE_IN_FORCE_S = "stroke_in_force_s"  # a fifth of the backends gone at once, beside load
    MASS_FAILURE_SERVED_SHARE = "stroke_served_share"  # of the requests from 1 s before it until then
    READY_S = "ready_s"  # from the start of the process until it takes clients
    LIST_BYTES = "list_bytes"  # the whole list, as sent at the start


class Machine(msgspec.Struct, frozen=True):
    """Where it was measured."""

    cores: int
    memory_bytes: int
    python: str
    kernel: str


class Sample(msgspec.Struct, frozen=True):
    """One measured window of one gateway (of a kind, of a program) at one size."""

    dimension: Dimension
    size: float  # backends, gateways, tenants, or events a second, by the dimension
    kind: Kind
    repeat: int  # counted from 0
    program: str  # label of the measured tree
    order: int  # position in the shuffled order of the whole run, counted from 0
    seconds: float  # the measured window
    figures: dict[str, float]  # by the values of Figure; only those that were measured

    def figure(self, figure: Figure) -> float | None:
        """That figure, or None where it was not measured."""
        return self.figures.get(figure.value)


class SlopeResult(msgspec.Struct):
    """One run of `scale slopes`."""

    commits: dict[str, str]  # of each program label; "+" behind it where the tree has changes
    machine: Machine
    started_unix_s: float
    seed: int  # of the shuffled order
    held: dict[str, dict[str, float]]  # by dimension: the sizes of the others
    samples: list[Sample]
    complete: bool = True  # False: interrupted, or some points failed
    failures: list[str] = []  # points that gave no sample, and why
    features: dict[str, str] = {}  # name of each switched-on feature: its file, relative to the tree

    def chosen(self, dimension: Dimension, kind: Kind, program: str) -> list[Sample]:
        """Samples of one dimension, kind and program, by size and repeat."""
        found = [
            s for s in self.samples if s.dimension is dimension and s.kind is kind and s.program == program
        ]
        return sorted(found, key=lambda s: (s.size, s.repeat))


def write(result: SlopeResult, path: str | Path) -> None:
    """The result as JSON. FileError where the file can't be written."""
    typed_json.write(result, path)


def read(path: str | Path) -> SlopeResult:
    """A result of `write`. FileError names file, place and reason."""
    return typed_json.read(path, SlopeResult, "scale slopes")
