"""A backend deregisters and is acknowledged; the node beside it is killed and started again; a heartbeat of before arrives late."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from standins import Backend, Node, Store, TROUBLE, ask, ips, main, route  # noqa: E402

DRAIN_S = 2.0  # drain-ms 2,000
STABILITY_S = 3.0  # stability-ms 3,000
SERVES_ON_S = 9.0
LATE_S = 4.0


async def case(record, directory, nodes):
    store = Store(record)
    await store.start()
    store.configure(1, [route("book", "svc-a", kind="non_idempotent")], ["svc-a", "svc-b"])
    backends = []
    for number, (ip, service) in enumerate(zip(ips(2), ["svc-a", "svc-b"])):
        node = Node(record, directory, f"node-{number}", ip, "east", service, store.address)
        nodes.append(node)
        await node.start()
        backend = Backend(record, service, "east", ip)
        await backend.start()
        backend.begin_heartbeats(node.control)
        backends.append(backend)
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(4)
    beside, other = nodes
    leaving = backends[0]
    if (await ask(record, other.outbound, "/book/x", method="POST", body=b"1"))[0] != 200:
        return None

    # The last heartbeat is delayed on its way; without an acknowledgement the backend goes on.
    leaving.beating.cancel()
    delayed = leaving.heartbeat()
    record.write(f"backend {leaving.id}: heartbeat {leaving.seq} (ready) sent, delayed on its way")
    await asyncio.sleep(1)
    if not await leaving.say(leaving.deregistration(), "deregistration"):
        return None
    acknowledged = time.monotonic()
    await asyncio.sleep(0.3)
    if TROUBLE:
        beside.signal(signal.SIGKILL)
        await beside.ended(1)
        await asyncio.sleep(0.3)
        await beside.start()
        await beside.wait_ready()
    started = time.monotonic()
    await asyncio.sleep(LATE_S - (time.monotonic() - acknowledged))
    await leaving.say(delayed, "delayed heartbeat arrives")
    bound = max(acknowledged + DRAIN_S, started + STABILITY_S)
    reached = 0
    while time.monotonic() < acknowledged + SERVES_ON_S:
        sent = time.monotonic()
        before = len(leaving.runs)
        await ask(record, other.outbound, "/book/x", method="POST", body=b"1")
        if sent > bound and len(leaving.runs) > before:
            reached += 1
            record.write(f"VIOLATION: a request sent {sent - acknowledged:.2f} s after the acknowledgement of the deregistration reached the backend, "
                         f"{sent - started:.2f} s after its node was started again")
        await asyncio.sleep(0.2)
    record.write(f"requests that reached the backend that had left: {reached}")
    return reached == 0


if __name__ == "__main__":
    main(case, HERE)
