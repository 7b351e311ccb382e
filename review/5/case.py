"""A request that crashes backends comes again and again while the nodes are restarted in turn."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from standins import ATTEMPT_ID, Backend, Broken, Node, Store, TROUBLE, ask, ips, main, new_id, route  # noqa: E402

STABILITY_S = 3.0  # stability-ms 3,000
DOWN_S = 2.0  # a crashed backend is back after this time
RETRIES_MAX = 3
BACKENDS = 3
ROUNDS = 2
COPIES = 8
PERIOD_S = 0.5


class Fragile(Backend):
    """A backend that crashes when it begins to run a certain request, and starts again with a new incarnation."""

    crashes = []  # (time, attempt id, when the node beside the backend had started)
    started = []  # when each node was started last

    async def start(self):
        self.writers = set()
        await super().start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, request, reader, writer):
        if not request[0].split(" ")[1].startswith("/report/all"):
            await super().answer(request, reader, writer)
            return
        attempt = request[1][ATTEMPT_ID.lower()]
        Fragile.crashes.append((time.monotonic(), attempt, Fragile.started[self.index]))
        self.record.write(f"backend {self.id} beside node-{self.index}: begins {attempt} and crashes")
        asyncio.create_task(self.crash())
        raise Broken("crash")

    async def crash(self):
        self.server.close()
        self.beating.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        self.id, self.seq, self.born = "i-" + "%08x" % random.getrandbits(32), 0, int(time.time() * 1000)
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port), limit=1 << 20)
        self.begin_heartbeats(self.control)


async def case(record, directory, nodes):
    store = Store(record)
    await store.start()
    store.configure(1, [route("report", "svc-a"), route("history", "svc-a")], ["svc-a", "svc-b"])
    started = Fragile.started
    for number, (ip, service) in enumerate(zip(ips(BACKENDS + 1), ["svc-b"] + ["svc-a"] * BACKENDS)):
        node = Node(record, directory, f"node-{number}", ip, "east", service, store.address)
        nodes.append(node)
        await node.start()
        started.append(time.monotonic())
        backend = Fragile(record, service, "east", ip, work_s=0.05)
        backend.index = number
        await backend.start()
        backend.begin_heartbeats(node.control)
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(4)
    stop = asyncio.Event()
    broken_off = 0
    sent_at = {}

    async def others():
        """Clients whose requests do no harm."""
        nonlocal broken_off
        while not stop.is_set():
            status = (await ask(record, nodes[0].outbound, f"/history/{random.getrandbits(32)}", who="other client"))[0]
            broken_off += status not in (200, 503)
            await asyncio.sleep(0.05)

    async def copies():
        """The harmful request comes again a few times, at any machine."""
        for _ in range(COPIES):
            entry, attempt = random.randrange(len(nodes)), new_id()
            sent_at[attempt] = (time.monotonic(), started[entry])
            await ask(record, nodes[entry].outbound, "/report/all", attempt=attempt, who=f"client at node-{entry}")
            await asyncio.sleep(PERIOD_S)

    clients = [asyncio.create_task(others()) for _ in range(4)]
    await copies()
    first_round = len(Fragile.crashes)
    record.write(f"crashes before the restarts: {first_round}")
    for _ in range(ROUNDS):
        for number, node in list(enumerate(nodes))[1:]:
            if TROUBLE:
                node.signal(signal.SIGTERM)
                if await node.ended(6) is None:
                    return None
                await node.start()
                started[number] = time.monotonic()
                await node.wait_ready()
            # All machines are in touch again when the request comes the next time.
            await asyncio.sleep(STABILITY_S + 0.5)
            await copies()
    stop.set()
    await asyncio.gather(*clients)

    late = 0
    third = Fragile.crashes[2][0] if len(Fragile.crashes) > 2 else None
    for _, attempt, beside_since in Fragile.crashes[3:]:
        sent, entry_since = sent_at[attempt]
        in_touch = sent - entry_since > STABILITY_S and sent - beside_since > STABILITY_S
        if sent - third > STABILITY_S and in_touch:
            late += 1
            record.write(f"VIOLATION: {attempt}, sent {sent - third:.1f} s after the third crash, crashed another backend")
    record.write(f"crashes: {len(Fragile.crashes)}, of them {late} later than {STABILITY_S:.0f} s after the third by machines in touch; "
                 f"requests of other clients that were broken off: {broken_off}")
    return late <= RETRIES_MAX


if __name__ == "__main__":
    main(case, HERE)
