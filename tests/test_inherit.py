"""Inheriting the clients' listening socket from the platform ($RELAY_SOCKET_FD); invalid descriptors."""

from __future__ import annotations

import os
import socket

import pytest

from zincstile.net.config import ConfigError, parse_descriptor
from zincstile.net.host import Host


def test_an_inherited_listening_socket_accepts_connections():
    listening = socket.create_server(("127.0.0.1", 0))
    fd = os.dup(listening.fileno())
    inherited = Host().inherit_socket(fd)
    try:
        client = socket.create_connection(listening.getsockname(), timeout=2)
        inherited.setblocking(True)
        inherited.settimeout(2)
        accepted, _ = inherited.accept()
        accepted.close()
        client.close()
    finally:
        inherited.close()
        listening.close()


@pytest.mark.parametrize("kind", ["udp", "unlistened", "closed"])
def test_a_descriptor_that_is_not_a_listening_tcp_socket_gives_an_error_and_stays_open(kind):
    if kind == "udp":
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    else:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    fd = sock.fileno()
    if kind == "closed":
        sock.close()
    with pytest.raises(ConfigError, match="RELAY_SOCKET_FD"):
        Host().inherit_socket(fd)
    if kind != "closed":
        assert sock.fileno() == fd  # still open for its owner
        sock.close()


@pytest.mark.parametrize("text", ["three", "-3", "3.0"])
def test_a_descriptor_that_is_not_a_number_gives_an_error(text):
    with pytest.raises(ConfigError, match="not a file descriptor number"):
        parse_descriptor(text)
    assert parse_descriptor(None) is None and parse_descriptor("3") == 3
