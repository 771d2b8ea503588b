"""The clients' listening socket handed down by the platform ($RELAY_SOCKET_FD), and what is not one."""

from __future__ import annotations

import os
import socket

import pytest

from zincstile.net.config import ConfigError, parse_descriptor
from zincstile.net.host import Host


def test_a_listening_socket_is_taken_and_accepts():
    listening = socket.create_server(("127.0.0.1", 0))
    fd = os.dup(listening.fileno())
    taken = Host().inherit_socket(fd)
    try:
        client = socket.create_connection(listening.getsockname(), timeout=2)
        taken.setblocking(True)
        taken.settimeout(2)
        accepted, _ = taken.accept()
        accepted.close()
        client.close()
    finally:
        taken.close()
        listening.close()


@pytest.mark.parametrize("kind", ["udp", "unlistened", "closed"])
def test_what_is_no_listening_tcp_socket_is_told_and_left_alone(kind):
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
        assert sock.fileno() == fd  # not closed beneath its owner
        sock.close()


@pytest.mark.parametrize("text", ["three", "-3", "3.0"])
def test_a_descriptor_that_is_no_number_is_told(text):
    with pytest.raises(ConfigError, match="not a descriptor"):
        parse_descriptor(text)
    assert parse_descriptor(None) is None and parse_descriptor("3") == 3
