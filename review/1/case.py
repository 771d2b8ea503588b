"""Ordinary load with answers of 64,000 bytes: does the gateway stay within `memory_mb`?"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import HOST, Backend, Discovery, command, main, read_answer  # noqa: E402

MEMORY_MB = 80  # the bench gives 80 MB on the day of large values, bulk+slow+pieces
SOCKETS = 512
CONNECTIONS = SOCKETS // 3  # "For requests, clients hold at most a third of the descriptors"
RATE = 300  # requests a second; "up to 140 ..., on one day, two of them get up to four times that" (560)
WORK_S = 0.25  # 160 ms of work on the slower kind of machine (speed 0.64)
LARGE, SMALL = 64_000, 2_000  # "a value holds at most 64 KiB"
LENGTH_S = 60


def anonymous_bytes(pid: int) -> int:
    """The process's own memory, without the pages of files, which the platform would count as well."""
    text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(text.split("RssAnon:")[1].split()[0]) * 1024


async def play(case):
    record, rng = case.record, random.Random(1)
    filler = b"v" * (LARGE if case.trouble else SMALL)
    discovery = Discovery(record)
    await discovery.start()
    backends = [Backend(record, f"s-{number:02}") for number in range(12)]

    def answer_by(backend):
        async def on_call(call_id, kind, writer):
            await asyncio.sleep(WORK_S * rng.uniform(0.7, 1.3))
            value = f"{backend.name}|{call_id}|".encode()
            writer.write(backend.answer(value + filler[len(value) :]))
            return True

        return on_call

    for backend in backends:
        await backend.start()
        backend.on_call = answer_by(backend)
        discovery.add(backend)
    gateway = case.gateway(discovery, limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
    gateway.start()
    await gateway.ready()
    breaks, free, tasks = [], [], set()
    counts = {"sent": 0, "served": 0, "refused": 0, "failed": 0}
    used = {"connections": 0, "peak": 0}
    unanswered: set[str] = set()

    async def platform():
        """Over `memory_mb` the gateway is killed."""
        noted = 0
        while not gateway.ended:
            size = anonymous_bytes(gateway.process.pid)
            used["peak"] = max(used["peak"], size)
            if size > noted + (4 << 20):
                noted = size
                record.line("platform", f"{gateway.name} has {size >> 20} MB of its own")
            if size > MEMORY_MB << 20:
                waiting = len(unanswered)
                record.line("platform", f"{gateway.name} is over {MEMORY_MB} MB: {size >> 20} MB")
                gateway.signal(signal.SIGKILL)
                breaks.append(
                    f"the gateway had {size >> 20} MB of {MEMORY_MB} MB and was killed, with {waiting} requests unanswered"
                )
                return
            await asyncio.sleep(0.1)

    async def request():
        """One request at a time on a connection; a new connection when every one is busy."""
        if not free and used["connections"] >= CONNECTIONS:
            return
        counts["sent"] += 1
        call_id, customer = f"{counts['sent']:016x}", f"{rng.randrange(400):016x}"
        try:
            if free:
                reader, writer = free.pop()
            else:
                used["connections"] += 1
                reader, writer = await asyncio.open_connection(HOST, gateway.port, limit=1 << 20)
            record.line("client", f"sends {call_id} c=guide-read d=3000")
            unanswered.add(call_id)
            fields = "c=guide-read,t=premium,d=3000,units=1,spread=1,first=0"
            writer.write(command("CALL.GET", customer, call_id, fields))
            answer = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError):
            record.line("client", f"{call_id} lost: its connection ended")
            return
        unanswered.discard(call_id)
        free.append((reader, writer))
        outcome = "served" if answer[:1] == b"$" else "refused" if answer.startswith(b"-BUSY") else "failed"
        counts[outcome] += 1
        record.line("client", f"{call_id} {outcome}, {len(answer)} bytes")

    watch = asyncio.create_task(platform())
    end = time.monotonic() + LENGTH_S
    due = time.monotonic()
    while time.monotonic() < end and not gateway.ended and not breaks:
        due += rng.expovariate(RATE)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        task = asyncio.create_task(request())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.sleep(1)
    watch.cancel()
    for task in list(tasks):
        task.cancel()
    record.line("case", f"{counts}, {used['connections']} connections, peak {used['peak'] >> 20} MB")
    print(counts, f"{used['connections']} connections, peak {used['peak'] >> 20} MB")
    return breaks


main(play, FOLDER)
