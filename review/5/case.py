"""The store turns away the machines that watch it and serves the others and the operator; a change must still reach the others in time."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import Backend, Node, Store, TROUBLE, ask, ips, main, route  # noqa: E402

ZONES = ["east", "west", "south"]
NODES_PER_ZONE = 6
SHARE = 1 / 3  # of the machines are turned away
REJECTED_S = 9.0
CONFIG_APPLY_S = 2.0  # config-apply-ms 2,000
MAX_SKEW_S = 5.0  # max-skew-ms 5,000
PERIOD_S = 0.2


async def case(record, directory, nodes):
    store = Store(record)
    await store.start()
    services = ["svc-a", "svc-b"]
    store.configure(1, [route("moved", "svc-a")], services)
    addresses = ips(len(ZONES) * NODES_PER_ZONE)
    for number, ip in enumerate(addresses):
        zone, service = ZONES[number % len(ZONES)], services[number % len(services)]
        name = f"node-{number}"
        node = Node(record, directory, name, ip, zone, service, await store.listen(name))
        nodes.append(node)
        await node.start()
        backend = Backend(record, service, zone, ip)
        await backend.start()
        backend.begin_heartbeats(node.control)
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(15)
    watchers = store.watchers()
    record.write(f"machines that watch the store: {', '.join(sorted(watchers))}")
    if len(watchers) > SHARE * len(nodes):
        return None
    if TROUBLE:
        store.reject(watchers)
        record.write("disruption: the store answers these machines with 503 and serves the others")
    rejected_at = time.monotonic()
    await asyncio.sleep(0.5)
    acknowledged = store.configure(4, [route("moved", "svc-b"), route("added", "svc-a")], services)
    bound = acknowledged + CONFIG_APPLY_S + MAX_SKEW_S
    record.write(f"requests sent after {bound - record.start:.3f} must be handled by version 4 at all machines that the store serves")
    served = [node for node in nodes if node.name not in watchers]
    wrong = 0

    async def probe(node):
        nonlocal wrong
        sent = time.monotonic()
        added = await ask(record, node.outbound, "/added/x", who=f"client at {node.name}")
        moved = await ask(record, node.outbound, "/moved/x", who=f"client at {node.name}")
        old = added[0] == 404 or (moved[0] == 200 and moved[2].startswith(b"svc-a"))
        if old and sent > bound:
            wrong += 1
            record.write(f"VIOLATION: {node.name} handled requests sent {sent - acknowledged:.2f} s after the acknowledgement of version 4 by an older one")

    probes = []
    while time.monotonic() < rejected_at + REJECTED_S:
        if time.monotonic() > acknowledged + CONFIG_APPLY_S:
            probes += [asyncio.create_task(probe(node)) for node in served]
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*probes)
    store.reject([])
    record.write(f"handled by an older version after the bound: {wrong} pairs of requests")
    return wrong == 0


if __name__ == "__main__":
    main(case, HERE)
