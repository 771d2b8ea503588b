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
    from ..quota_service import codec, events
    from .quota_service import QuotaServiceClient

    address = config.quota_service_address
    assert address is not None, "config.load takes no quota service without its address"
    client = QuotaServiceClient(dispatcher, address, read_buffer)

    def call(_: int, action: events.CallQuotaService) -> None:
        client.call(
            action.name,
            action.amount,
            action.ttl_ms,
            lambda _, total: dispatcher.post(events.QuotaServiceAnswered(action.call_id, total)),
        )

    def send(_: int, action: events.SendPeerHeartbeat) -> None:
        peers.send(action.peer, codec.pack(action.heartbeat))

    def receive(sender: int, data: bytes) -> events.PeerHeartbeatReceived | None:
        message = codec.unpack(sender, data)
        return None if message is None else events.PeerHeartbeatReceived(message)

    dispatcher.action_handlers[events.CallQuotaService] = call
    dispatcher.action_handlers[events.SendPeerHeartbeat] = send
    peers.decoders[codec.MAGIC] = receive
    return client


def connect_leases(dispatcher: Dispatcher, peers: Peers) -> None:
    """Connects the leases by which gateways share state within stated bounds."""
    from ..leases import codec, events

    def send(_: int, action: events.SendSharedMessages) -> None:
        for data in codec.pack(action.process, action.messages):
            peers.send(action.peer, data)

    def receive(sender: int, data: bytes) -> events.SharedMessagesReceived | None:
        found = codec.unpack(data)
        return None if found is None else events.SharedMessagesReceived(sender, *found)

    dispatcher.action_handlers[events.SendSharedMessages] = send
    peers.decoders[codec.MAGIC] = receive


def connect_zone_failover(dispatcher: Dispatcher, peers: Peers) -> None:
    """Connects the messages by which gateways choose zones in common."""
    from ..zone_failover import codec, events

    def send(_: int, action: events.SendZoneMessage) -> None:
        peers.send(action.peer, codec.pack(action.message))

    def receive(sender: int, data: bytes) -> events.ZoneMessageReceived | None:
        found = codec.unpack(data)
        return None if found is None else events.ZoneMessageReceived(sender, found)

    dispatcher.action_handlers[events.SendZoneMessage] = send
    peers.decoders[codec.MAGIC] = receive
