"""config.json to typed settings."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..decisions.settings import Settings
from ..simulator import codec
from .limits import Limits, read_given

Address = tuple[str, int]


class ConfigError(ValueError):
    """The configuration can't be used; the text says why in one line."""


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    zones: list[str]
    kinds: list[str]
    limits: Limits
    known: dict[str, Any]
    peer_listen: Address | None
    peers: list[Address]
    quota_service_address: Address | None = None
    quota_service: Any = None  # quota_service.settings.QuotaServiceSettings, where quotas are held so
    start: Any = None  # cold_start.settings.ColdStartSettings, where a file switches cold_start on
    place: Any = None  # zone_failover.settings.ZoneFailoverSettings, where zones are chosen in common
    subset: Any = None  # subset.settings.SubsetSettings, where a gateway uses a part of the endpoints
    shared: Any = None  # shared.settings.SharedSettings, where state is shared within stated bounds
    socket_fd: int | None = None  # the clients' listening socket, inherited ($RELAY_SOCKET_FD)
    control: Address | None = None  # the operators' door ($RELAY_CONTROL)


def address(text: object) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


def reload(env: dict[str, str] | os._Environ[str]) -> Config:
    """Reads the file as it is by now. The other variables date from the start, so the file goes before."""
    return load({"RELAY_CONFIG": env.get("RELAY_CONFIG", "")}, each=_without_endpoint)


def _without_endpoint(e: dict[str, Any]) -> dict[str, Any] | None:
    """An object of the file; None for one of the known list, which only a start needs. That list is the most
    of a large fleet's file."""
    return None if "address" in e and "status" in e else e


def load(
    env: dict[str, str] | os._Environ[str], each: Callable[[dict[str, Any]], Any] | None = None
) -> Config:
    """`each`: what becomes of each object of the file as soon as it is read."""
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as text:
            table = json.load(text, object_hook=each)
    except OSError as err:
        raise ConfigError(f"{path}: {err.strerror}") from err
    except (ValueError, RecursionError):
        raise ConfigError(f"{path}: not JSON") from None
    if not isinstance(table, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        return read(table, env)
    except ConfigError:
        raise
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as err:
        said = f"key {err} is missing" if isinstance(err, KeyError) else str(err)
        raise ConfigError(f"{path}: {said}") from None


def read(t: dict[str, Any], env: dict[str, str] | os._Environ[str]) -> Config:
    """A table as the file holds it. ValueError, TypeError, KeyError and their like where it can't be used."""
    settings = t["settings"]
    decoded = codec.read_settings(json.dumps(settings).encode())
    limits = settings["limits"]
    own = t.get("limits") or {}
    given = read_given(own)
    if min(given.values(), default=1) < 1:
        raise ConfigError("limits: all must be above 0")
    peers = [address(p) for p in t.get("peers") or []]
    return Config(
        name=str(env.get("RELAY_NAME") or t["name"]),
        listen=address(env.get("RELAY_LISTEN") or t["listen"]),
        discovery=address(env.get("RELAY_DISCOVERY") or t["discovery"]),
        seed=int(str(t["seed"]), 16),
        settings=decoded,
        zones=[str(z) for z in settings.get("zones") or []],
        kinds=[str(k) for k in settings.get("skus") or []],
        limits=Limits.for_gateway(
            int(own.get("sockets", 1024)),
            int(own.get("memory_mb", 192)),
            int(limits.get("max_open", 20000)),
            int(limits.get("connect_timeout_ns", 250_000_000)),
            int(limits.get("idle_close_ns", 30_000_000_000)),
            decoded.longest_ns,
            given,
            decoded.gateways,
            int((settings.get("obligations") or {}).get("ask_within_ns", 10_000_000_000))
            if decoded.ask_for_list
            else 0,
            bool(env.get("RELAY_CONTROL") or t.get("control")),
        ),
        known=t.get("known") or {},
        peer_listen=address(t["peer_listen"]) if t.get("peer_listen") else None,
        peers=peers,
        quota_service_address=address(t["counter"]) if _feature(t, "keeper") and t.get("counter") else None,
        quota_service=_quota_service(t, decoded),
        shared=_shared(t, decoded),
        start=_start(t, decoded),
        place=_place(t, decoded),
        subset=_subset(t, decoded),
        socket_fd=_descriptor(env.get("RELAY_SOCKET_FD")),
        control=_control(t, env),
    )


def _control(t: dict[str, Any], env: dict[str, str] | os._Environ[str]) -> Address | None:
    """The operators' door: `$RELAY_CONTROL` before `control`; None where neither is given."""
    given = env.get("RELAY_CONTROL") or t.get("control")
    if not given:
        return None
    try:
        return address(given)
    except ConfigError as err:
        raise ConfigError(f"control: {err}") from None


def _descriptor(text: str | None) -> int | None:
    """A descriptor's number, or None where none is named."""
    if text is None or not text.strip():
        return None
    if not text.strip().isdecimal():
        raise ConfigError(f"$RELAY_SOCKET_FD: not a descriptor: {text!r}")
    return int(text)


def _feature(t: dict[str, Any], name: str) -> Any:
    """The file that switches a feature on, or None."""
    return (t.get("features") or {}).get(name)


def _quotas(settings: Settings) -> list[Any]:
    """One for each plan that has a quota, and each number of gateways that a customer may come in by."""
    from ..decisions.quota_bounds import of_plan

    return [
        of_plan(p, spread, settings.largest_units)
        for p in settings.plans
        if p.rate
        for spread in range(1, settings.gateways + 1)
    ]


def _shared(t: dict[str, Any], settings: Settings) -> Any:
    """Off unless `features.shared` names a file. ConfigError where that can't be used, or a plan not held."""
    path = _feature(t, "shared")
    if not path:
        return None
    if _feature(t, "keeper"):
        raise ConfigError("features.shared: quotas are held by features.keeper already; name one of both")
    if not settings.peers:
        raise ConfigError("features.shared: settings.limits.peers is false: nobody could be lent to")
    from . import features

    try:
        found, _ = features.shared(str(path))
        features.check_shared(str(path), found, _quotas(settings))
    except features.FileError as err:
        raise ConfigError(str(err)) from None
    return found


def _start(t: dict[str, Any], settings: Settings) -> Any:
    """Off unless `features.start` names a file. ConfigError where that can't be used."""
    path = _feature(t, "start")
    if not path:
        return None
    from . import features

    try:
        found = features.start(str(path))
    except features.FileError as err:
        raise ConfigError(str(err)) from None
    if found.peers and not settings.peers:
        raise ConfigError(f"{path}: peers: settings.limits.peers is false: nobody could be asked")
    return found


def _place(t: dict[str, Any], settings: Settings) -> Any:
    """Off unless `features.place` names a file. ConfigError where that can't be used."""
    path = _feature(t, "place")
    if not path:
        return None
    from . import features

    try:
        found = features.place(str(path))
        features.check_place(str(path), found, [str(z) for z in t["settings"].get("zones") or []])
    except features.FileError as err:
        raise ConfigError(str(err)) from None
    if not settings.peers:
        raise ConfigError(f"{path}: settings.limits.peers is false: nothing could be decided in common")
    return found


def _subset(t: dict[str, Any], settings: Settings) -> Any:
    """Off unless `features.subset` names a file. ConfigError where that can't be used."""
    path = _feature(t, "subset")
    if not path:
        return None
    from . import features

    try:
        found = features.subset(str(path))
        zones = [str(z) for z in t["settings"].get("zones") or []]
        features.check_subset(str(path), found, zones, settings)
    except features.FileError as err:
        raise ConfigError(str(err)) from None
    return found


def _quota_service(t: dict[str, Any], settings: Settings) -> Any:
    """Off unless `features.keeper` names a file. ConfigError where that can't be used, or a plan not held."""
    path = _feature(t, "keeper")
    if not path:
        return None
    if not t.get("counter"):
        raise ConfigError("features.keeper: no counter is given")
    from . import features

    try:
        found, _ = features.quota_service(str(path))
        features.check_quota_service(str(path), found, _quotas(settings))
    except features.FileError as err:
        raise ConfigError(str(err)) from None
    return found
