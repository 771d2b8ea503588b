"""The configuration: config.json and the environment, read into typed settings."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from ..decisions.settings import Settings
from ..simulator import settings_codec
from .limits import Limits, Machine, read_given

if TYPE_CHECKING:
    from ..decisions.quota_bounds import Quota

Address = tuple[str, int]  # host and port
Environment = Mapping[str, str]

# Where neither the file nor its settings say so.
DEFAULT_SOCKETS: Final = 1024
DEFAULT_MEMORY_MB: Final = 192
DEFAULT_SESSIONS: Final = 20_000
DEFAULT_CONNECT_NS: Final = 250_000_000
DEFAULT_IDLE_CLOSE_NS: Final = 30_000_000_000
DEFAULT_POLL_INTERVAL_NS: Final = 10_000_000_000


class ConfigError(ValueError):
    """The configuration can't be used; the text says why in one line."""


@dataclass(slots=True)
class Config:
    """What one process was given. The last fields are None where the configuration doesn't switch them on.

    A feature's settings are of the class `Settings` of its package, read from the file that `features` names.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    zones: list[str]
    backend_types: list[str]  # types of backend servers, by the numbers that the policy knows them by
    limits: Limits
    initial_list: dict[
        str, Any
    ]  # the endpoint list of before the start, as in the file; taken out once it is used
    peer_listen: Address | None
    peers: list[Address]
    quota_service_address: Address | None = None
    quota_service: Any = None  # where quotas are held by a quota service
    cold_start: Any = None  # where gateways start beside each other
    zone_failover: Any = None  # where zones are chosen in common
    subset: Any = None  # where a gateway uses a part of the endpoints
    leases: Any = None  # where state is shared within stated bounds
    socket_fd: int | None = None  # the clients' listening socket, inherited ($RELAY_SOCKET_FD)
    admin_address: Address | None = None  # the admin endpoint ($RELAY_CONTROL)


# ---- reading


def load(env: Environment, object_hook: Callable[[dict[str, Any]], Any] | None = None) -> Config:
    """Reads the file that $RELAY_CONFIG names; what else the environment gives goes before the file.

    object_hook: what becomes of each object of the file as soon as it is decoded. Raises ConfigError; its
    cause is the OSError where the file can't be opened.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    table = _load_table(path, object_hook)
    try:
        return read(table, env)
    except ConfigError:
        raise
    except KeyError as err:
        raise ConfigError(f"{path}: key {err} is missing") from None
    except (ValueError, TypeError, AttributeError, OverflowError) as err:
        raise ConfigError(f"{path}: {err}") from None


def reload(env: Environment) -> Config:
    """Reads the file as it is by now. The other variables date from the start, so the file goes before."""
    return load({"RELAY_CONFIG": env.get("RELAY_CONFIG", "")}, object_hook=_without_endpoint)


def _without_endpoint(table: dict[str, Any]) -> dict[str, Any] | None:
    """Returns an object of the file; None for one of the known list, which only a start needs.

    That list is the most of a large fleet's file.
    """
    return None if "address" in table and "status" in table else table


def _load_table(path: str, object_hook: Callable[[dict[str, Any]], Any] | None) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            table = json.load(file, object_hook=object_hook)
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from err
    except (ValueError, RecursionError):
        raise ConfigError(f"{path}: not JSON") from None
    if not isinstance(table, dict):
        raise ConfigError(f"{path}: not an object")
    return table


def read(table: dict[str, Any], env: Environment) -> Config:
    """Returns the configuration that a table as in the file makes.

    Raises ConfigError, or ValueError, TypeError, KeyError and their like, where it can't be used.
    """
    settings_table = table["settings"]
    settings = settings_codec.read_settings(json.dumps(settings_table).encode())
    settings_limits = settings_table["limits"]
    own_limits = table.get("limits") or {}
    given_limits = read_given(own_limits)
    if min(given_limits.values(), default=1) < 1:
        raise ConfigError("limits: all must be above 0")
    peers = [parse_address(peer) for peer in table.get("peers") or []]
    return Config(
        name=str(env.get("RELAY_NAME") or table["name"]),
        listen=parse_address(env.get("RELAY_LISTEN") or table["listen"]),
        discovery=parse_address(env.get("RELAY_DISCOVERY") or table["discovery"]),
        seed=int(str(table["seed"]), 16),
        settings=settings,
        zones=_zones(table),
        backend_types=[str(kind) for kind in settings_table.get("skus") or []],
        limits=Limits.for_gateway(
            Machine(
                sockets=int(own_limits.get("sockets", DEFAULT_SOCKETS)),
                memory_mb=int(own_limits.get("memory_mb", DEFAULT_MEMORY_MB)),
                sessions=int(settings_limits.get("max_open", DEFAULT_SESSIONS)),
                connect_ns=int(settings_limits.get("connect_timeout_ns", DEFAULT_CONNECT_NS)),
                idle_close_ns=int(settings_limits.get("idle_close_ns", DEFAULT_IDLE_CLOSE_NS)),
                longest_request_ns=settings.max_deadline_ns,
                gateways=settings.gateway_count,
                poll_interval_ns=_poll_interval_ns(settings_table, settings),
                has_admin_endpoint=bool(env.get("RELAY_CONTROL") or table.get("control")),
            ),
            given_limits,
        ),
        initial_list=table.get("known") or {},
        peer_listen=parse_address(table["peer_listen"]) if table.get("peer_listen") else None,
        peers=peers,
        quota_service_address=_quota_service_address(table),
        quota_service=_quota_service(table, settings),
        leases=_leases(table, settings),
        cold_start=_start(table, settings),
        zone_failover=_place(table, settings),
        subset=_subset(table, settings),
        socket_fd=parse_descriptor(env.get("RELAY_SOCKET_FD")),
        admin_address=_control(table, env),
    )


def _zones(table: dict[str, Any]) -> list[str]:
    return [str(zone) for zone in table["settings"].get("zones") or []]


def _poll_interval_ns(settings_table: dict[str, Any], settings: Settings) -> int:
    """Returns within which time discovery has to be polled; 0 where it is a watch of this machine's agent."""
    if not settings.polls_endpoint_list:
        return 0
    obligations = settings_table.get("obligations") or {}
    return int(obligations.get("ask_within_ns", DEFAULT_POLL_INTERVAL_NS))


def _control(table: dict[str, Any], env: Environment) -> Address | None:
    """Returns the admin endpoint's address: `$RELAY_CONTROL` before `control`."""
    given = env.get("RELAY_CONTROL") or table.get("control")
    if not given:
        return None
    try:
        return parse_address(given)
    except ConfigError as err:
        raise ConfigError(f"control: {err}") from None


def parse_address(text: object) -> Address:
    """Returns host and port of HOST:PORT or [HOST]:PORT; ConfigError where it is neither."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def parse_descriptor(text: str | None) -> int | None:
    """Returns the number of `$RELAY_SOCKET_FD`, or None where none is given; ConfigError where it is none."""
    if text is None or not text.strip():
        return None
    if not text.strip().isdecimal():
        raise ConfigError(f"$RELAY_SOCKET_FD: not a descriptor: {text!r}")
    return int(text)


# ---- features: off unless `features.NAME` names a file


def _feature_path(table: dict[str, Any], name: str) -> str | None:
    """Returns the path of the file that switches a feature on, or None."""
    path = (table.get("features") or {}).get(name)
    return str(path) if path else None


@contextlib.contextmanager
def _config_errors() -> Iterator[None]:
    """Raises what is wrong with a feature's file as a ConfigError."""
    from ..serialization.errors import FileError

    try:
        yield
    except FileError as err:
        raise ConfigError(str(err)) from None


def _quotas(settings: Settings) -> list[Quota]:
    """Returns one for each plan that has a quota, and each number of gateways that a customer may use."""
    from ..decisions.quota_bounds import quota_of_plan

    return [
        quota_of_plan(plan, spread, settings.max_request_units)
        for plan in settings.plans
        if plan.rate
        for spread in range(1, settings.gateway_count + 1)
    ]


def _quota_service_address(table: dict[str, Any]) -> Address | None:
    if not _feature_path(table, "keeper") or not table.get("counter"):
        return None
    return parse_address(table["counter"])


def _quota_service(table: dict[str, Any], settings: Settings) -> Any:
    """Reads the file of `features.keeper`; ConfigError where a plan can't be held as it says."""
    path = _feature_path(table, "keeper")
    if path is None:
        return None
    if not table.get("counter"):
        raise ConfigError("features.keeper: no counter is given")
    from . import features

    with _config_errors():
        found, _ = features.read_quota_service(path)
        features.check_quota_service(path, found, _quotas(settings))
    return found


def _leases(table: dict[str, Any], settings: Settings) -> Any:
    """Reads the file of `features.shared`; ConfigError where a plan can't be held as it says."""
    path = _feature_path(table, "shared")
    if path is None:
        return None
    if _feature_path(table, "keeper"):
        raise ConfigError("features.shared: quotas are held by features.keeper already; name one of both")
    if not settings.gossips:
        raise ConfigError("features.shared: settings.limits.peers is false: nobody could be lent to")
    from . import features

    with _config_errors():
        found, _ = features.read_leases(path)
        features.check_leases(path, found, _quotas(settings))
    return found


def _start(table: dict[str, Any], settings: Settings) -> Any:
    """Reads the file of `features.start`."""
    path = _feature_path(table, "start")
    if path is None:
        return None
    from . import features

    with _config_errors():
        found = features.read_cold_start(path)
    if found.use_peer_lists and not settings.gossips:
        raise ConfigError(f"{path}: peers: settings.limits.peers is false: nobody could be asked")
    return found


def _place(table: dict[str, Any], settings: Settings) -> Any:
    """Reads the file of `features.place`; ConfigError where it doesn't fit the zones of the settings."""
    path = _feature_path(table, "place")
    if path is None:
        return None
    from . import features

    with _config_errors():
        found = features.read_zone_failover(path)
        features.check_zone_failover(path, found, _zones(table))
    if not settings.gossips:
        raise ConfigError(f"{path}: settings.limits.peers is false: nothing could be decided in common")
    return found


def _subset(table: dict[str, Any], settings: Settings) -> Any:
    """Reads the file of `features.subset`; ConfigError where it doesn't fit the zones of the settings."""
    path = _feature_path(table, "subset")
    if path is None:
        return None
    from . import features

    with _config_errors():
        found = features.read_subset(path)
        features.check_subset(path, found, _zones(table), settings)
    return found
