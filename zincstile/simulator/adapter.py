"""Hosts one policy object per instance on standard input and output. Decides nothing."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

from ..decisions.messages import Action, Started
from ..decisions.policy import Policy
from . import codec
from .settings_codec import WireError


def _handle(policies: dict[int, Policy], now: int, instance: int, event: Any) -> list[Action]:
    if isinstance(event, codec.InstanceOpened):
        policies[instance] = Policy(event.settings, event.seed)
        return policies[instance].handle(now, Started())
    if isinstance(event, codec.InstanceStopped):
        policies.pop(instance, None)
        return []
    if instance not in policies:
        return []
    return policies[instance].handle(now, event)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the end of input."""
    policies: dict[int, Policy] = {}
    while True:
        head = source.read(codec.HEADER.size)
        if not head:
            return
        if len(head) < codec.HEADER.size:
            raise WireError("frame: the header is cut short")
        now, size, count, number = codec.HEADER.unpack(head)
        body = source.read(size)
        if len(body) < size:
            raise WireError("frame: the body is cut short")
        reply = codec.Reply(number)
        for instance, event in codec.read_records(body, count):
            try:
                for action in _handle(policies, now, instance, event):
                    reply.add_action(instance, action)
            except Exception as err:
                reply.add_fault(instance, f"{type(err).__name__}: {err}")
        sink.write(reply.encode())
        sink.flush()


def main() -> int:
    """Answers until the end of input; exit code 2 where it can't be understood."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as err:
        print(f"zincstile: {err}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
