"""Open connections between nodes go silent; a change of the configuration must be in force at a node that makes no calls on them."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from standins import Backend, Node, Store, TROUBLE, ask, ips, main, route  # noqa: E402

NODES = 4
STABILITY_S = 3.0  # stability-ms 3,000
CONFIG_APPLY_S = 2.0  # config-apply-ms 2,000
JUDGED_S = 20.0
PERIOD_S = 0.2


async def case(record, directory, nodes):
    store = Store(record)
    await store.start()
    services = [f"svc-{number}" for number in range(NODES)]
    routes = [route(f"r{number}", service) for number, service in enumerate(services)]
    before = routes + [route(f"m{number}", service) for number, service in enumerate(services)]
    after = routes + [route(f"m{number}", services[(number + 1) % NODES]) for number in range(NODES)]
    after += [route(f"a{number}", service) for number, service in enumerate(services)]
    store.configure(1, before, services)
    addresses = ips(2 * NODES)
    for number, service in enumerate(services):
        name = f"node-{number}"
        node = Node(record, directory, name, addresses[number], "east", service, await store.listen(name), front=addresses[NODES + number])
        nodes.append(node)
        await node.start()
        backend = Backend(record, service, "east", addresses[number])
        await backend.start()
        backend.begin_heartbeats(node.control)
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(15)
    watchers = store.watchers()
    record.write(f"machines that watch the store: {', '.join(sorted(watchers))}")
    quiet = [(number, node) for number, node in enumerate(nodes) if node.name not in watchers]
    if not quiet:
        return None

    # Every node calls every service, so that the connections between all nodes are open; then each goes on calling the service beside it only.
    for node in nodes:
        for number in range(NODES):
            if (await ask(record, node.outbound, f"/r{number}/x", who=f"client at {node.name}"))[0] != 200:
                return None
    silent_at = time.monotonic()
    if TROUBLE:
        record.write(f"disruption: {sum(node.front.proxy.silence() for node in nodes)} open connections between nodes go silent; new ones work")
    await asyncio.sleep(STABILITY_S)
    acknowledged = store.configure(4, after, services)
    bound = acknowledged + CONFIG_APPLY_S
    record.write(f"requests sent after {bound - record.start:.3f} must be handled by version 4")
    wrong = 0

    async def probe(number, node):
        nonlocal wrong
        sent = time.monotonic()
        who = f"client at {node.name}"
        await ask(record, node.outbound, f"/r{number}/x", who=who)
        added = await ask(record, node.outbound, f"/a{number}/x", who=who)
        moved = await ask(record, node.outbound, f"/m{number}/x", who=who)
        old_service = moved[0] == 200 and moved[2].startswith(services[number].encode() + b" ")
        if (added[0] == 404 or old_service) and sent > bound:
            wrong += 1
            record.write(f"VIOLATION: {node.name}, {sent - acknowledged:.2f} s after the acknowledgement of version 4 and {sent - silent_at:.2f} s after the "
                         f"silence: {'404 for the added route' if added[0] == 404 else ''}{', the old service ran the moved route' if old_service else ''}")

    probes = []
    while time.monotonic() < bound + JUDGED_S:
        probes += [asyncio.create_task(probe(number, node)) for number, node in enumerate(nodes)]
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*probes)
    record.write(f"handled by an older version after the bound: {wrong} pairs of requests")
    return wrong == 0


if __name__ == "__main__":
    main(case, HERE)
