"""A node is stopped with SIGTERM while its backend, which keeps running, makes calls through it."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from standins import Backend, DEADLINE, Node, Store, TROUBLE, ask, ips, main, new_id, route  # noqa: E402

GRACE_S = 6.0  # grace-s 6
SENT_SOON_S = 3.0  # requests sent up to here after the SIGTERM may be cut in the last sixth of grace-s
CALL_WORK_S = 0.35
PARENT_S = 8.0


async def case(record, directory, nodes):
    store = Store(record)
    await store.start()
    store.configure(1, [route("parent", "svc-a", timeout_ms=10000), route("child", "svc-b", timeout_ms=5000)], ["svc-a", "svc-b"])
    backends = []
    for number, (ip, service) in enumerate(zip(ips(2), ["svc-a", "svc-b"])):
        node = Node(record, directory, f"node-{number}", ip, "east", service, store.address)
        nodes.append(node)
        await node.start()
        backend = Backend(record, service, "east", ip, work_s=CALL_WORK_S)
        await backend.start()
        backend.begin_heartbeats(node.control)
        backends.append(backend)
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(4)
    stopped, other = nodes
    calls = []  # (sent at, attempt id, status, ended at, deadline in ms)

    async def work(backend, request):
        """Makes calls through the node beside the backend, one after the other; each expires at the deadline of the request that runs, or up to
        3 ms before it: the node recognises calls by their deadlines, to about a millisecond, and a busy machine delays them by more."""
        line, fields, _ = request
        until = time.monotonic() + int(fields[DEADLINE.lower()]) / 1000
        times = int(line.split(" ")[1].rsplit("/", 1)[1])
        end = time.monotonic() + PARENT_S
        for _ in range(times):
            left = int((until - time.monotonic()) * 1000) - random.randrange(4)
            if left < 500 or time.monotonic() > end:
                break
            attempt, sent = new_id(), time.monotonic()
            status = (await ask(record, stopped.outbound, "/child/x", left, attempt, who=f"backend {backend.id}"))[0]
            calls.append((sent, attempt, status, time.monotonic(), left))
            if status != 200:
                return 500, b"a call failed"
        return 200, b"done"

    backends[0].work = work
    for _ in range(20):
        await asyncio.gather(*(ask(record, other.outbound, "/parent/1", 10000) for _ in range(3)))
    long_request = asyncio.create_task(ask(record, other.outbound, "/parent/1000", 10000))
    await asyncio.sleep(0.5)
    term = time.monotonic()
    if TROUBLE:
        stopped.signal(signal.SIGTERM)
    await asyncio.gather(long_request, return_exceptions=True)
    if TROUBLE:
        code = await stopped.ended(GRACE_S - (time.monotonic() - term) + 0.5)
        record.write(f"{stopped.name}: exit code {code}")
    await asyncio.sleep(0.5)

    ran = {run[1]: run for run in backends[1].runs}
    lost = 0
    for sent, attempt, status, ended, deadline in calls:
        if sent < term or attempt not in ran or status != 0:
            continue
        record.write(f"call {attempt}: sent {sent - term:.2f} s after SIGTERM, passed on, its connection ended {ended - term:.2f} s after SIGTERM without an answer, "
                     f"{deadline / 1000 - (ended - sent):.1f} s before its deadline")
        lost += sent - term > SENT_SOON_S and ended - term < GRACE_S + 1
    record.write(f"requests lost: {lost}")
    return lost == 0


if __name__ == "__main__":
    main(case, HERE)
