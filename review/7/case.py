"""Case 7: see claim.txt."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins_2 import HOST, TROUBLE, Call, Fleet, Record, play

GATEWAYS, BACKENDS = 3, 6
MIB = 1 << 20
SIZES = [MIB + 3 * MIB * step // 16 for step in range(12)] + [4 * MIB - 32768 * step for step in range(12)]
CLIENT_BUFFER = 32768  # bytes that a client's own socket takes in ahead of it, as on a small device
PIECE = 16384
SLOW_BYTES_PER_S, SLOW_S = (
    20_000,
    40.0,
)  # a slow client reads at this rate for so long, then as fast as it can


async def give(sizes: dict[bytes, int], writer: asyncio.StreamWriter, words: list[bytes]) -> None:
    """A backend's answer: all at once, as fast as the gateway takes it."""
    size = sizes[words[2]]
    writer.write(b"*3\r\n$%d\r\n" % size)
    for at in range(0, size, PIECE):
        writer.write(b"v" * min(PIECE, size - at))
        await writer.drain()
    report = b"inflight=1,latency_ms=20.0,queue=0"
    writer.write(b"\r\n$-1\r\n$%d\r\n%b\r\n" % (len(report), report))


async def ask(record: Record, port: int, call: Call, size: int) -> None:
    """One client: sends one request and reads its answer without ever pausing for longer than a second."""
    loop, whole = asyncio.get_running_loop(), size + len(b"$%d\r\n\r\n" % size)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER)
    sock.setblocking(False)
    got, first, end, start = b"", 0.0, "whole", time.monotonic()
    count = 0
    try:
        await loop.sock_connect(sock, (HOST, port))
        await loop.sock_sendall(sock, call.bytes)
        while count < whole:
            data = await loop.sock_recv(sock, PIECE)
            if not data:
                end = "closed by the gateway"
                break
            first = first or time.monotonic()
            got = got or data[:16]
            count += len(data)
            if got[:1] != b"$":
                end = "refused or failed"
                break
            if TROUBLE and time.monotonic() - start < SLOW_S:
                await asyncio.sleep(len(data) / SLOW_BYTES_PER_S)
    except OSError as err:
        end = f"closed by the gateway ({err.strerror})"
    finally:
        sock.close()
    now = time.monotonic()
    text = (
        f"{call.id.decode()}: {end}, {count} of {whole} bytes, the first after "
        f"{1000 * (first - start):.0f} ms, the last after {now - start:.1f} s"
    )
    if end.startswith("closed"):
        record.breaks(f"lost: {text}")
    else:
        record.say(text)


async def case(record: Record, folder: Path) -> None:
    rng = random.Random(6)
    fleet = Fleet(record, folder, rng)
    sizes: dict[bytes, int] = {}
    try:
        await fleet.start(GATEWAYS, BACKENDS)
        for backend in fleet.backends:
            backend.answer = lambda writer, words: give(sizes, writer, words)
        clients = []
        for number, size in enumerate(SIZES):
            call = Call(rng, "guide-read", "premium", 3000, GATEWAYS, 0)
            sizes[call.id] = size
            port = fleet.fronts[number % GATEWAYS].port
            clients.append(asyncio.create_task(ask(record, port, call, size)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*clients)
        fleet.check_alive()
    finally:
        fleet.stop()


play(__file__, case)
