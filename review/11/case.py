"""Clients look up one page of a catalogue all the time. A request of another path, which crashes each backend that begins to run it,
comes four times, a second apart. Then the day ends as DEPLOY.md tells: a configuration is acknowledged, all processes are killed and
start again, and the traffic goes on. Counts the share of the lookups that is served before that and from recovery-s after it."""
import asyncio
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins_3  # noqa: E402
from standins_3 import BROKEN, HELD, NOT_RUN, TROUBLE, attempt, main, route  # noqa: E402

RECOVERY_S = 15
MEASURED_S = 15
CRASH_S = 3  # a backend is back after that
QUARTER = 0.25
CRASHING = "/parts/crash"


class CrashingBackend(standins_3.Backend):
    """A backend that a certain request crashes as soon as it begins to run it."""

    async def answer(self, request, reader, writer):
        mine = request.fields.get(standins_3.TARGET) in (None, self.id)
        if mine and f" {CRASHING} " in request.start:
            self.record(f"run {request.fields.get(standins_3.ATTEMPT)} at {self.id}: crashes it")
            asyncio.create_task(self.crash())
            await asyncio.sleep(CRASH_S)
            return b""
        return await super().answer(request, reader, writer)

    async def crash(self):
        self.server.close()
        self.beats.cancel()
        for connection in list(self.connections):
            connection.transport.abort()
        await asyncio.sleep(CRASH_S)
        self.id, self.born, self.seq, self.running = f"i-{random.getrandbits(32):08x}", int(time.time() * 1000), 0, 0
        await self.start()


async def case(bed):
    standins_3.Backend = CrashingBackend
    for zone in ("riobamba", "latacunga", "ambato"):
        bed.add(zone, "svc-a", work_s=0.2)
    routes = [route("catalogue", "a.example", "/parts/", "svc-a", True)]
    bed.configure(7, routes, ["svc-a"])
    if not await bed.start():
        return NOT_RUN
    lookups = []

    async def look_up(machine, path):
        sent = bed.record.now()
        _, status, _ = await attempt(machine, bed.record, "GET", "a.example", path, 3000)
        lookups.append((sent, status))

    async def look_up_forever():
        pending = set()
        while True:
            machine = random.choice(bed.machines)
            pending.add(asyncio.create_task(look_up(machine, "/parts/list")))
            await asyncio.sleep(0.0125)

    load = asyncio.create_task(look_up_forever())
    await asyncio.sleep(20)
    if TROUBLE:
        for _ in range(4):
            asyncio.create_task(attempt(random.choice(bed.machines), bed.record, "GET", "a.example", CRASHING, 3000))
            await asyncio.sleep(1)
    bed.configure(8, routes, ["svc-a"])
    fault = bed.record.now()
    bed.record("final fault: version 8 is acknowledged, all processes are killed")
    await asyncio.gather(*[machine.stop(signal.SIGKILL) for machine in bed.machines])
    await asyncio.sleep(1)
    for machine in bed.machines:
        await machine.start()
    for machine in bed.machines:
        if not await machine.until_ready():
            return NOT_RUN
    back = bed.record.now()
    bed.record("all machines are back")
    await asyncio.sleep(RECOVERY_S + MEASURED_S)
    load.cancel()
    await asyncio.sleep(1)

    def share(begin, end):
        chosen = [status for sent, status in lookups if begin <= sent < end]
        return sum(status == 200 for status in chosen) / max(len(chosen), 1), len(chosen)

    before, count_before = share(0, fault)
    after, count_after = share(back + RECOVERY_S, back + RECOVERY_S + MEASURED_S - 1)
    bed.record(f"served before the final fault: {before:.3f} of {count_before}")
    bed.record(f"served later than recovery-s after the machines are back: {after:.3f} of {count_after}")
    if before < QUARTER:
        return NOT_RUN
    return BROKEN if after < QUARTER else HELD


if __name__ == "__main__":
    main(case, HERE)
