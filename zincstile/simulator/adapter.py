"""Runs one policy object per simulated instance; reads events on stdin and writes actions to stdout."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

from ..decisions.messages import Action, Started
from ..decisions.policy import Policy
from . import codec
from .settings_codec import WireError


def _handle(policies: dict[int, Policy], now_ns: int, instance: int, event: Any) -> list[Action]:
    if isinstance(event, codec.InstanceOpened):
        policies[instance] = Policy(event.settings, event.seed)
        return policies[instance].handle(now_ns, Started())
    if isinstance(event, codec.InstanceStopped):
        policies.pop(instance, None)
        return []
    if instance not in policies:
        return []
    return policies[instance].handle(now_ns, event)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reads frames and answers each with a reply, until end of file; raises WireError for a malformed one."""
    policies: dict[int, Policy] = {}
    while True:
        header = source.read(codec.FRAME_HEADER.size)
        if not header:
            return
        if len(header) < codec.FRAME_HEADER.size:
            raise WireError("frame: truncated header")
        now_ns, size, count, frame_number = codec.FRAME_HEADER.unpack(header)
        body = source.read(size)
        if len(body) < size:
            raise WireError("frame: truncated body")
        reply = codec.Reply(frame_number)
        for instance, event in codec.read_records(body, count):
            try:
                for action in _handle(policies, now_ns, instance, event):
                    reply.add_action(instance, action)
            except Exception as err:
                reply.add_fault(instance, f"{type(err).__name__}: {err}")
        sink.write(reply.encode())
        sink.flush()


def main() -> int:
    """Serves until end of file; returns the exit code, 2 for malformed input and 1 for a closed stdout."""
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
