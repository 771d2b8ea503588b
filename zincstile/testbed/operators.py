"""Operators' calls to the control endpoints of gateways, each recorded for the checker's maintenance rule."""

from __future__ import annotations

import asyncio
import time
from typing import Final

from .members import Node
from .testbed import Testbed

CALL_TIMEOUT_S: Final = 3.0  # an answer is due within 1 s
HTTP_OK: Final = 200


class Operators(Testbed):
    """Starts and ends maintenance of backends at gateways."""

    def set_maintenance(self, node: Node, name: str, out: bool) -> None:
        """Makes one call in the background. Only a confirmed call obliges the gateway."""
        self.spawn(self._maintain(node, name, out))

    async def _maintain(self, node: Node, name: str, out: bool) -> None:
        if not out:  # from here on the gateway may use the backend again, whatever it answers
            self.checker.maintenance.ended(node.name, name)
        action = "enter" if out else "exit"
        status = await self._call(node, f"/maintenance/{action}", name)
        self.checker.record_event(f"{node.name} answers {status} to {action} {name}")
        if out and status == HTTP_OK:
            self.checker.maintenance.confirmed(time.monotonic_ns(), node.name, name)

    async def _call(self, node: Node, path: str, body: str) -> int:
        """Returns the HTTP status; 0 if there is no answer."""
        host, _, port = node.admin_address.rpartition(":")
        head = f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write((head + body).encode())
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError, ValueError):
            return 0
        parts = line.split()
        return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0
