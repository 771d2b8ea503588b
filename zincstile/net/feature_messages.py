"""Connects features to the network: sends messages for their actions, and posts events for received messages.

Each function belongs to one feature and imports its modules when called, so that a gateway loads only the
features that its configuration enables.
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
    """Connects the quota service: calls to it, and heartbeats between the gateways that use it.

    Returns its client.
    """
    from ..quota_service import codec, events
    from .quota_service import QuotaServiceClient

    address = config.quota_service_address
    assert address is not None, "config.load rejects a quota service without an address"
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
    """Connects the leases that gateways use to share state within bounds."""
    from ..leases import codec, events

    def send(_: int, action: events.SendSharedMessages) -> None:
        for data in codec.pack(action.process, action.messages):
            peers.send(action.peer, data)

    def receive(sender: int, data: bytes) -> events.SharedMessagesReceived | None:
        messages = codec.unpack(data)
        return None if messages is None else events.SharedMessagesReceived(sender, *messages)

    dispatcher.action_handlers[events.SendSharedMessages] = send
    peers.decoders[codec.MAGIC] = receive


def connect_zone_failover(dispatcher: Dispatcher, peers: Peers) -> None:
    """Connects the messages that gateways use to agree on zones."""
    from ..zone_failover import codec, events

    def send(_: int, action: events.SendZoneMessage) -> None:
        peers.send(action.peer, codec.pack(action.message))

    def receive(sender: int, data: bytes) -> events.ZoneMessageReceived | None:
        message = codec.unpack(data)
        return None if message is None else events.ZoneMessageReceived(sender, message)

    dispatcher.action_handlers[events.SendZoneMessage] = send
    peers.decoders[codec.MAGIC] = receive
