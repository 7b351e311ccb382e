"""Open connections to the store go silent; a change of the configuration that is acknowledged afterwards must be in force in time."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standins import Backend, Node, Proxy, Store, TROUBLE, ask, ips, main, route  # noqa: E402

STABILITY_S = 3.0  # stability-ms 3,000
CONFIG_APPLY_S = 2.0  # config-apply-ms 2,000
PERIOD_S = 0.1


async def case(record, directory, nodes):
    store = Store(record)
    await store.start()
    proxy = Proxy(store.address)
    await proxy.start()
    routes = [route("moved", "svc-a")]
    services = ["svc-a", "svc-b"]
    store.configure(1, routes, services)
    addresses = ips(4)
    backends = []
    for number, (ip, zone, service) in enumerate(zip(addresses, ["east", "east", "west", "west"], ["svc-a", "svc-b", "svc-a", "svc-b"])):
        node = Node(record, directory, f"node-{number}", ip, zone, service, proxy.address)
        nodes.append(node)
        await node.start()
        backend = Backend(record, service, zone, ip)
        await backend.start()
        backend.begin_heartbeats(node.control)
        backends.append(backend)
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(15)
    for node in nodes:
        if (await ask(record, node.outbound, "/moved/x"))[0] != 200:
            return None

    # A change, then the silence, then a second change.
    store.configure(2, [route("moved", "svc-a", timeout_ms=4000)], services)
    await asyncio.sleep(0.3)
    silent_at = time.monotonic()
    if TROUBLE:
        record.write(f"disruption: {proxy.silence()} open connections to the store go silent; new ones work")
    await asyncio.sleep(0.3)
    acknowledged = store.configure(4, [route("moved", "svc-b", timeout_ms=4000), route("added", "svc-a")], services)
    bound = max(acknowledged + CONFIG_APPLY_S, silent_at + STABILITY_S)
    record.write(f"requests sent after {bound - record.start:.3f} must be handled by version 4")

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
    while time.monotonic() < bound + 4:
        probes += [asyncio.create_task(probe(node)) for node in nodes]
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*probes)
    record.write(f"handled by an older version after the bound: {wrong} pairs of requests")
    return wrong == 0


if __name__ == "__main__":
    main(case, HERE)
