"""Connects features to the network: their actions to datagrams and calls, and what arrives to their events.

Each function belongs to one feature, and imports its modules only where it is called: a gateway loads what
its configuration switches on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .config import Config
from .dispatcher import Dispatcher
from .peers import Peers

if TYPE_CHECKING:
    from .quota_service import QuotaServiceClient


def connect_quota_service(
    config: Config, dispatcher: Dispatcher, peers: Peers, read_buffer: memoryview
) -> QuotaServiceClient:
    """Connects the quota service: calls to it, and the heartbeats between the gateways that use it.

    Returns its client.
    """
    from ..quota_service import codec, module
    from .quota_service import QuotaServiceClient

    address = config.quota_service_address
    assert address is not None, "config.load takes no quota service without its address"
    client = QuotaServiceClient(dispatcher, address, read_buffer)

    def call(_: int, action: module.KeeperCall) -> None:
        client.call(
            action.name,
            action.amount,
            action.ttl_ms,
            lambda _, total: dispatcher.post(module.KeeperAnswer(action.number, total)),
        )

    def send(_: int, action: module.KeeperTell) -> None:
        peers.send(action.peer, codec.pack(action.word))

    def receive(sender: int, data: bytes) -> module.KeeperWord | None:
        message = codec.unpack(sender, data)
        return None if message is None else module.KeeperWord(message)

    dispatcher.action_handlers[module.KeeperCall] = call
    dispatcher.action_handlers[module.KeeperTell] = send
    peers.decoders[codec.FIRST_BYTE] = receive
    return client


def connect_leases(dispatcher: Dispatcher, peers: Peers) -> None:
    """Connects the leases by which gateways share state within stated bounds."""
    from ..leases import codec, module

    def send(_: int, action: module.SharedTell) -> None:
        for data in codec.pack(action.process, action.words):
            peers.send(action.peer, data)

    def receive(sender: int, data: bytes) -> module.SharedWords | None:
        found = codec.unpack(data)
        return None if found is None else module.SharedWords(sender, *found)

    dispatcher.action_handlers[module.SharedTell] = send
    peers.decoders[codec.MAGIC] = receive


def connect_zone_failover(dispatcher: Dispatcher, peers: Peers) -> None:
    """Connects the messages by which gateways choose zones in common."""
    from ..zone_failover import codec, module

    def send(_: int, action: module.PlaceTell) -> None:
        peers.send(action.peer, codec.pack(action.word))

    def receive(sender: int, data: bytes) -> module.PlaceWord | None:
        found = codec.unpack(data)
        return None if found is None else module.PlaceWord(sender, found)

    dispatcher.action_handlers[module.PlaceTell] = send
    peers.decoders[codec.MAGIC] = receive
