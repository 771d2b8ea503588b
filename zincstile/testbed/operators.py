"""The operators of a run: their calls to the gateways' control endpoints, and the rule that each begins."""

from __future__ import annotations

import asyncio
import time
from typing import Final

from .members import Node
from .testbed import Testbed

CALL_S: Final = 3.0  # a call is given up after so long; its answer is due within 1 s
HTTP_OK: Final = 200


class Operators(Testbed):
    """Takes backends out of service at gateways and puts them back."""

    def set_maintenance(self, node: Node, name: str, out: bool) -> None:
        """One call, beside everything else. Where it is not confirmed nothing is obliged."""
        self.spawn(self._maintain(node, name, out))

    async def _maintain(self, node: Node, name: str, out: bool) -> None:
        if not out:  # from the call on it may be sent to again, whatever is answered
            self.checker.maintenance.ended(node.name, name)
        action = "enter" if out else "exit"
        status = await self._call(node, f"/maintenance/{action}", name)
        self.checker.record_event(f"{node.name} answers {status} to {action} {name}")
        if out and status == HTTP_OK:
            self.checker.maintenance.confirmed(time.monotonic_ns(), node.name, name)

    async def _call(self, node: Node, path: str, body: str) -> int:
        """The status; 0 where there is no answer."""
        host, _, port = node.operators.rpartition(":")
        head = f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            async with asyncio.timeout(CALL_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write((head + body).encode())
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError, ValueError):
            return 0
        parts = line.split()
        return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0
