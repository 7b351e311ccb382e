"""All nodes of a service are killed at the same moment, several times: a request that crashes backends is let through anew each time."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
from standins_2 import now, play, route  # noqa: E402

STABLE_S = 3  # stability-ms
LATE_MAX = 3  # retries that may reach backends later than stability-ms after the third crash
HERDS = 4
DOWN_S = 2  # of a backend that has crashed
RETRIES = 8  # of the request after each herd, one in half a second
HOST = 'manuals.example'
DEADLINE_MS = 5000


async def case(deployment):
    trouble = os.environ.get('TROUBLE', '1') != '0'
    shape = {'slots': 36, 'work_ms': 100}
    await deployment.start([(zone, service, shape) for service in ('manuales', 'agenda') for zone in 'abc'],
                           [route('r-manuals', HOST, '/manuals/', 'idempotent', 'manuales', 3000)], ['manuales', 'agenda'])
    nodes, entries = deployment.machines[:3], deployment.machines[3:]
    started = {machine.name: now() - STABLE_S for machine in deployment.machines}
    over = asyncio.Event()

    async def keep_up(machine):
        """Starts the machine's backend again some seconds after a crash."""
        while not over.is_set():
            await machine.upstream.wait()
            deployment.record('backend crashed', machine=machine.name)
            await asyncio.sleep(DOWN_S)
            await machine.start_upstream()

    async def others():
        while not over.is_set():
            await deployment.request(entries[0], 'GET', HOST, '/manuals/100/other', DEADLINE_MS)
            await asyncio.sleep(0.05)

    jobs = [asyncio.ensure_future(keep_up(machine)) for machine in nodes] + [asyncio.ensure_future(others()) for _ in range(4)]
    reached_late = set()
    for herd in range(HERDS + 1):
        if herd > 0 and trouble:
            for machine in nodes:
                machine.node.kill()
                machine.node.wait()
                deployment.record('node killed', machine=machine.name)
            await asyncio.sleep(0.5)
            for machine in nodes:
                machine.start_node()
                started[machine.name] = now()
        # Long enough that all machines are in touch again and all backends are back.
        await asyncio.sleep(STABLE_S + 1.5)
        for _ in range(RETRIES):
            attempt, _ = await deployment.request(entries[1], 'GET', HOST, '/manuals/poison/same', DEADLINE_MS)
            for event in deployment.events[-400:]:
                if event['event'] == 'reach' and event['id'] == attempt and event['t'] - started[event['machine']] >= STABLE_S:
                    reached_late.add((event['t'], event['machine']))
            await asyncio.sleep(0.5)
    over.set()
    for job in jobs:
        job.cancel()
    crashes = sorted(event['t'] for event in deployment.events if event['event'] == 'run' and 'poison' in event['target'])
    third = crashes[2] if len(crashes) > 2 else None
    late = [pair for pair in reached_late if third is not None and pair[0] > third + STABLE_S]
    broken_off = sum(1 for event in deployment.events if event['event'] == 'client ends' and event['outcome'] == 502)
    print('crashes:', len(crashes), 'retries that reached a backend later than stability-ms after the third:', len(late),
          'requests answered 502:', broken_off)
    return len(late) > LATE_MAX


sys.exit(play(case, os.path.dirname(os.path.abspath(__file__))))
