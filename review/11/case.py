"""Two machines, each with a node and a backend of another service. Clients keep booking on kept connections. Three times, four
clients at each machine send a booking with a body of 60 MB at the same moment; `max-body-bytes` is 64 MiB. The platform ends
a process whose resident memory exceeds the limit of its machine, and starts it again."""
import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins_3 import BROKEN, HELD, NOT_RUN, TROUBLE, Connection, attempt, main, new_id, request_bytes, route  # noqa: E402

MEMORY_LIMIT_MB = 260 * 1.048576  # memory-mb 260, read as MiB, in millions of bytes
BODY_BYTES = 60_000_000
SMALL_BODY_BYTES = 60_000
UPLOADERS = 4
ROUNDS = 3
LOST_MOST = 3  # of the rule: more than three times


class Watch:
    """Ends processes whose memory exceeds the limit, as the platform does."""

    def __init__(self, bed):
        self.bed, self.peak = bed, {}

    async def run(self):
        while True:
            for machine in self.bed.machines:
                process = machine.process
                if process.returncode is not None:
                    continue
                used = machine.rss_mb()
                self.peak[machine.name] = max(self.peak.get(machine.name, 0), used)
                if used > MEMORY_LIMIT_MB:
                    self.bed.record(f"memory of {machine.name} {used:.0f} MB, over the limit: killed")
                    process.send_signal(signal.SIGKILL)
            await asyncio.sleep(0.005)


class Booker:
    """A client that books on a kept connection, one booking after the other."""

    def __init__(self, bed, machine, host, path):
        self.bed, self.machine, self.host, self.path = bed, machine, host, path
        self.unanswered = []
        self.stopped = False

    async def run(self):
        connection = Connection(self.machine)
        while not self.stopped:
            name = new_id()
            try:
                await connection.send(request_bytes("POST", self.host, self.path, name, 5000))
                answer = await connection.answer(6)
                if answer.status != 200:
                    self.bed.record(f"booking {name} answered {answer.status}")
                    await asyncio.sleep(0.3)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                self.bed.record(f"booking {name} no answer {type(error).__name__}")
                self.unanswered.append(name)
                connection.close()
                await asyncio.sleep(0.2)


async def case(bed):
    for zone, service in (("riobamba", "svc-a"), ("latacunga", "svc-b")):
        bed.add(zone, service, work_s=0.3)
    bed.configure(7, [route("book-a", "a.example", "/book/", "svc-a", False), route("book-b", "b.example", "/book/", "svc-b", False)],
                  ["svc-a", "svc-b"])
    if not await bed.start():
        return NOT_RUN
    watch = Watch(bed)
    tasks = [asyncio.create_task(watch.run())]
    hosts = dict(zip(bed.machines, ("a.example", "b.example")))
    bookers = [Booker(bed, machine, hosts[machine], "/book/small") for machine in bed.machines for _ in range(6)]
    tasks += [asyncio.create_task(booker.run()) for booker in bookers]
    body = b"b" * (BODY_BYTES if TROUBLE else SMALL_BODY_BYTES)
    for _ in range(ROUNDS):
        for machine in bed.machines:
            if not await machine.until_ready():
                return NOT_RUN
        await asyncio.sleep(4)
        await asyncio.gather(*[attempt(machine, bed.record, "POST", hosts[machine], "/book/large", 5000, body)
                               for machine in bed.machines for _ in range(UPLOADERS)])
        await asyncio.sleep(2)
    for booker in bookers:
        booker.stopped = True
    await asyncio.wait(tasks[1:], timeout=8)
    tasks[0].cancel()
    ran = {name for backend in bed.backends for _, name in backend.runs}
    lost = sum(name in ran for booker in bookers for name in booker.unanswered)
    for machine in bed.machines:
        bed.record(f"{machine.name}: peak memory {watch.peak[machine.name]:.0f} MB, ended by itself {len(machine.ends)} times")
    bed.record(f"small bookings that ran and whose kept connection ended without an answer: {lost}")
    return BROKEN if lost > LOST_MOST else HELD


if __name__ == "__main__":
    main(case, HERE)
