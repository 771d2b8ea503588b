"""An operator's `POST /standby` while a slow client reads a large value: does it get the whole of it?"""

import asyncio
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import HOST, Backend, Discovery, command, main  # noqa: E402

VALUE = 4 << 20  # "values reach 4 MiB"
RATES = (150_000, 160_000, 170_000, 180_000, 190_000, 200_000, 210_000, 220_000)  # bytes a second that the clients read
STANDBY_AT_S = 2.0
ACTIVE_AT_S = 60.0


async def play(case):
    record = case.record
    discovery = Discovery(record)
    await discovery.start()
    backends = [Backend(record, f"s-{number}") for number in range(3)]
    for backend in backends:
        await backend.start()
        backend.values = {"guide-read": VALUE}
        discovery.add(backend)
    gateway = case.gateway(discovery)
    gateway.start()
    await gateway.ready()
    breaks = []

    async def client(number, rate):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, (HOST, gateway.port))
        call_id = f"{number:016x}"
        fields = "c=guide-read,t=premium,d=3000,units=1,spread=1,first=0"
        record.line("client", f"sends {call_id}; reads {rate} bytes a second, without a pause")
        await loop.sock_sendall(sock, command("CALL.GET", "00000000b4d65521", call_id, fields))
        start, received, total, head, noted = time.monotonic(), 0, 0, b"", 0
        ending = ""
        while not total or received < total:
            try:
                data = await loop.sock_recv(sock, 8192)
            except OSError as err:
                ending = f"reset: {err}"
                break
            if not data:
                ending = "end of the connection"
                break
            if not received:
                record.line("client", f"{call_id}: first bytes after {time.monotonic() - start:.3f} s")
            received += len(data)
            if not total:
                head += data
                if b"\r\n" in head:
                    line = head[: head.index(b"\r\n")]
                    if line[:1] != b"$":
                        record.line("client", f"{call_id} not served: {line!r}")
                        break
                    total = len(line) + 2 + int(line[1:]) + 2
            if received - noted >= 500_000:
                noted = received
                record.line("client", f"{call_id}: {received} of {total} bytes")
            ahead_s = received / rate - (time.monotonic() - start)
            if ahead_s > 0.01:
                await asyncio.sleep(ahead_s)
        sock.close()
        span = time.monotonic() - start
        if total and received < total:
            text = f"{call_id}: the gateway ended the connection after {received} of {total} bytes, {span:.1f} s ({ending})"
            record.line("client", text)
            breaks.append(text)
        elif total:
            record.line("client", f"{call_id}: whole after {span:.1f} s")

    clients = [asyncio.create_task(client(number + 1, rate)) for number, rate in enumerate(RATES)]
    await asyncio.sleep(STANDBY_AT_S)
    if case.trouble:
        await gateway.call("POST", "/standby")
    await asyncio.wait(clients, timeout=ACTIVE_AT_S)
    if case.trouble:
        await gateway.call("POST", "/active")
    return breaks


main(play, FOLDER)
