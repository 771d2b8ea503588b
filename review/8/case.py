"""Case 8: see claim.txt."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2 import HOST, TROUBLE, Call, Fleet, Record, play

GATEWAYS, BACKENDS = 3, 6
VALUES = 6
SIZE, PIECE = 4 << 20, 8192  # bytes of a value, and of the pieces that a backend writes
GIVEN_S = 6.0  # in which a backend gives a value, one piece after the other
STOP_S = 0.5  # SIGTERM comes so long after the last request
KILL_S = 10.0  # and SIGKILL so long after SIGTERM: "no sooner than" 3.7 s


async def give(writer: asyncio.StreamWriter, words: list[bytes]) -> None:
    """A backend's answer, in small pieces that follow each other without a longer pause."""
    start = time.monotonic()
    writer.write(b"*3\r\n$%d\r\n" % SIZE)
    for at in range(0, SIZE, PIECE):
        writer.write(b"v" * min(PIECE, SIZE - at))
        await writer.drain()
        await asyncio.sleep(max(0.0, start + GIVEN_S * at / SIZE - time.monotonic()))
    report = b"inflight=1,latency_ms=20.0,queue=0"
    writer.write(b"\r\n$-1\r\n$%d\r\n%b\r\n" % (len(report), report))


async def ask(record: Record, port: int, call: Call) -> None:
    """One client, which reads as fast as it can."""
    whole = SIZE + len(b"$%d\r\n\r\n" % SIZE)
    reader, writer = await asyncio.open_connection(HOST, port)
    start = time.monotonic()
    count, first, head = 0, 0.0, b""
    writer.write(call.bytes)
    try:
        while count < whole:
            data = await reader.read(65536)
            if not data:
                break
            first = first or time.monotonic()
            head = head or data[:16]
            count += len(data)
            if head[:1] != b"$":
                break
    except OSError as err:
        record.line(f"{call.id.decode()}: {err}")
    writer.close()
    text = (
        f"{call.id.decode()}: {count} of {whole} bytes, the first after {1000 * (first - start):.0f} ms, "
        f"the last after {time.monotonic() - start:.1f} s"
    )
    if head[:1] == b"$" and count < whole:
        record.breaks(f"lost: cut off while its backend still gave it: {text}")
    else:
        record.say(text)


async def case(record: Record, folder: Path) -> None:
    rng = random.Random(7)
    fleet = Fleet(record, folder, rng)
    try:
        await fleet.start(GATEWAYS, BACKENDS)
        for backend in fleet.backends:
            backend.answer = give
        gateway = fleet.gateways[0]
        clients = []
        for _ in range(VALUES):
            call = Call(rng, "guide-read", "premium", 3000, GATEWAYS, 0)
            clients.append(asyncio.create_task(ask(record, fleet.fronts[0].port, call)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(STOP_S)
        stopped = time.monotonic()
        if TROUBLE:
            gateway.signal(signal.SIGTERM)
        while TROUBLE and gateway.ended() is None and time.monotonic() - stopped < KILL_S:
            await asyncio.sleep(0.01)
        if TROUBLE:
            record.say(
                f"{gateway.name} ended by itself with {gateway.ended()}, {time.monotonic() - stopped:.2f} s after "
                "SIGTERM"
                if gateway.ended() is not None
                else f"{gateway.name} gets SIGKILL"
            )
            gateway.stop()
        await asyncio.gather(*clients)
    finally:
        fleet.stop()


play(__file__, case)
