"""A planned stop of a node, in a deployment whose grace-s is 10: requests at which their backend is at work are cut after 5.2 s."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
from standins_2 import now, play, route  # noqa: E402

GRACE_S = 10  # of the platform; the last sixth begins at 8.33 s
DEADLINE_MS = 6000
HOST = 'visits.example'


async def case(deployment):
    trouble = os.environ.get('TROUBLE', '1') != '0'
    shape = {'slots': 36, 'work_ms': 20}
    await deployment.start([(zone, service, shape) for zone in 'abc' for service in ('agenda', 'manuales')],
                           [route('r-visits', HOST, '/visits/', 'non_idempotent', 'agenda', DEADLINE_MS, attempts=1)], ['agenda', 'manuales'])
    stopped = deployment.machines[1]
    # Each backend answers a few requests first, since a node sends few at once to one that has answered none.
    for _ in range(5):
        await asyncio.gather(*[deployment.request(machine, 'POST', HOST, '/visits/20/first', DEADLINE_MS, b'{}') for machine in deployment.machines])
    began = now()
    if trouble:
        stopped.node.send_signal(signal.SIGTERM)
        deployment.record('SIGTERM', machine=stopped.name)
    jobs = []
    for number in range(8):
        await asyncio.sleep(0.1)
        # 5.0 s of work: it ends at the latest 5.8 s after the SIGTERM, within the deadline and long before the last sixth of grace-s.
        jobs.append(asyncio.ensure_future(deployment.request(stopped, 'POST', HOST, '/visits/5000/%d' % number, DEADLINE_MS, b'{}')))
    outcomes = await asyncio.gather(*jobs)
    if trouble:
        await asyncio.sleep(max(0, began + GRACE_S - now()))
        deployment.record('end of grace-s', machine=stopped.name, exited=stopped.node.poll())
    passed_on = {event['id'] for event in deployment.events if event['event'] == 'reach'}
    lost = [attempt for attempt, outcome in outcomes if outcome == 'closed' and attempt in passed_on]
    print('outcomes:', [outcome for _, outcome in outcomes], 'passed on and cut:', len(lost))
    return bool(lost)


sys.exit(play(case, os.path.dirname(os.path.abspath(__file__))))
