"""A backend dies in the middle of a large value: what becomes of the requests behind it on the client's connection?"""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import HOST, Backend, Discovery, command, main, read_answer  # noqa: E402

ROUNDS = 5
VALUE = 1 << 20  # "values reach 4 MiB"
PART = 400_000  # written before the connection breaks
PAUSE_S = 0.5
BEHIND = (("guide-read", 1), ("ppv-order", 3), ("bulk-send", 2), ("settings-save", 2))  # classes and how many


async def play(case):
    record, rng = case.record, random.Random(2)
    discovery = Discovery(record)
    await discovery.start()
    backends = [Backend(record, f"s-{number}") for number in range(4)]
    large: set[str] = set()
    runs: dict[str, str] = {}

    def answer_by(backend):
        async def on_call(call_id, kind, writer):
            runs[call_id] = backend.name
            if call_id not in large:
                return False
            value = backend.value(call_id, kind)
            value += b"v" * (VALUE - len(value))
            whole = backend.answer(value)
            writer.write(whole[:PART])
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
            if case.trouble:
                record.line(backend.name, f"dies while it answers {call_id}")
                await backend.crash()
                await asyncio.sleep(0.3)
                await backend.start(backend.port)  # started again at once by its supervisor
                raise ConnectionResetError
            writer.write(whole[PART:])
            await writer.drain()
            return True

        return on_call

    for backend in backends:
        await backend.start()
        backend.work_s = {"guide-read": 0.1, "settings-save": 0.06, "ppv-order": 0.06, "bulk-send": 0.15}
        backend.on_call = answer_by(backend)
        discovery.add(backend)
    gateway = case.gateway(discovery)
    gateway.start()
    await gateway.ready()
    breaks, number = [], 0
    for turn in range(ROUNDS):
        batch = []
        for kind, count in BEHIND:
            for _ in range(count):
                number += 1
                call_id, customer = f"{number:016x}", f"{rng.randrange(400):016x}"
                safe = kind in ("guide-read", "settings-save")
                key = f",k={number:08x}" if kind == "ppv-order" else ""
                fields = f"c={kind},t=premium,d={1500 if kind == 'settings-save' else 3000}{key},units=1,spread=1,first=0"
                words = [customer, call_id, fields] + ([] if safe else ["body"])
                batch.append((call_id, kind, command("CALL.GET" if safe else "CALL.POST", *words)))
        large.add(batch[0][0])
        reader, writer = await asyncio.open_connection(HOST, gateway.port, limit=1 << 20)
        for call_id, kind, _ in batch:
            record.line("client", f"sends {call_id} c={kind} on connection {turn}")
        writer.write(b"".join(data for _, _, data in batch))
        answered, ending = 0, ""
        for call_id, kind, _ in batch:
            try:
                answer = await asyncio.wait_for(read_answer(reader), 5)
            except asyncio.IncompleteReadError as err:
                ending = f"the gateway ended the connection, {len(err.partial)} bytes into an answer"
            except ConnectionError:
                ending = "the gateway reset the connection"
            except asyncio.TimeoutError:
                ending = "no answer for 5 s"
            if ending:
                record.line("client", f"{call_id}: {ending}")
                break
            answered += 1
            record.line("client", f"{call_id} answered, {len(answer)} bytes: {answer[:24]!r}")
        writer.close()
        # The value that was begun and cut has failed and is not lost. The others owe nothing to that backend.
        for call_id, kind, _ in batch[answered:]:
            if call_id in large:
                continue
            ran = f"it ran at {runs[call_id]}" if call_id in runs else "it was not forwarded"
            if call_id in runs:
                breaks.append(f"{call_id} ({kind}) was taken and never answered; {ran}")
            else:
                record.line("client", f"{call_id} ({kind}): no answer; {ran}")
        await asyncio.sleep(1)
    return breaks


main(play, FOLDER)
