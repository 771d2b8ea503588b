"""Observers of the virtual network during a run, and callbacks by which emulators identify their peers."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from ..checkers.checker import Checker
from ..emulators import codec
from ..emulators.client_connection import ClientConnection
from ..emulators.client_requests import PlannedRequest, Request
from ..emulators.clients import ClientLoadBalancer
from ..virtual.clock import Scheduler
from ..virtual.process import Process
from ..virtual.tcp import TcpTransport
from .plan import Plan


class ForwardedCommandObserver:
    """Reports to the checker what a gateway sends to a backend on one connection."""

    __slots__ = ("checker", "gateway", "backend", "scheduler", "_commands", "_first_byte_ns", "_attempt")

    def __init__(self, checker: Checker, gateway: str, backend: str, scheduler: Scheduler) -> None:
        self.checker = checker
        self.gateway = gateway
        self.backend = backend
        self.scheduler = scheduler
        self._commands = codec.CommandParser()
        self._first_byte_ns = 0
        self._attempt: Any = None  # the checker's record, from the request id until the command is complete

    def feed(self, data: bytes) -> None:
        """Parses the next bytes. Commands arrive one by one: a connection carries one attempt at a time."""
        if self._commands.idle:
            self._first_byte_ns = self.scheduler.now_ns
        try:
            complete = self._commands.feed(data)
        except codec.ProtocolError as err:
            self.checker.protocol_violated(self.backend, self.gateway, str(err))
            return
        arguments = complete[0] if complete else self._commands.arguments
        if self._attempt is None and len(arguments) > 2:
            self._attempt = self.checker.attempt_started(
                self.gateway, self.backend, arguments[2], self._first_byte_ns
            )
        if not complete:
            return
        if self._attempt is not None:
            timeout_ms = codec.forwarded_timeout_ms(arguments)
            self.checker.attempt_completed(arguments[2], self._attempt, timeout_ms)
        self._attempt = None


class ConnectionEndCrossings:
    """Sends a request on a client connection just as a gateway ends that connection."""

    def __init__(
        self,
        plan: Plan,
        clients: Process,
        load_balancer: ClientLoadBalancer,
        requests: list[PlannedRequest],
    ) -> None:
        self._ratio = plan.crossing  # share of the ended connections on which a request is sent
        self._clients = clients
        self._load_balancer = load_balancer
        self._requests = [replace(request, retries=0, disconnect_after_s=0.0) for request in requests]
        self._rng = random.Random(f"crossings {plan.seed}")

    def connection_ended(self, endpoint: TcpTransport) -> None:
        """Called when a process has sent the end of a connection; `endpoint` is its side."""
        peer = endpoint.peer
        client = peer.protocol if peer is not None and peer.process is self._clients else None
        if isinstance(client, ClientConnection) and self._rng.random() < self._ratio:
            request = self._rng.choice(self._requests)
            self._clients.loop.call_soon(self._load_balancer.send_on_connection, client, request)


def was_read(transport: Any, request: Request) -> bool:
    """Returns True if the gateway had read the request before it ended the connection."""
    return transport.peer is None or transport.peer.had_read_before_fin(request.end_position)


def peer_process_name(transport: Any) -> str:
    """Returns the name of the process at the other end of a connection on the virtual network."""
    return transport.peer.process.name
