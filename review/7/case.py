"""A planned stop of a node, grace-s 6: requests that wait for a slot of their backend when the process ends get no answer at all."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..'))
from standins_2 import now, play, route  # noqa: E402

SLACK_S = 0.2  # loss-slack-ms
DEADLINE_MS = 6000
WORK_MS = 5000
HOST = 'visits.example'


async def case(deployment):
    trouble = os.environ.get('TROUBLE', '1') != '0'
    await deployment.start([('a', 'agenda', {'slots': 4, 'work_ms': WORK_MS}), ('b', 'manuales', {'slots': 4, 'work_ms': 20}),
                            ('c', 'repuestos', {'slots': 4, 'work_ms': 20})],
                           [route('r-visits', HOST, '/visits/', 'non_idempotent', 'agenda', DEADLINE_MS, attempts=1)],
                           ['agenda', 'manuales', 'repuestos'])
    stopped, other = deployment.machines[1], deployment.machines[2]
    if trouble:
        stopped.node.send_signal(signal.SIGTERM)
        deployment.record('SIGTERM', machine=stopped.name)
    await asyncio.sleep(0.3)
    jobs = [asyncio.ensure_future(deployment.request(other, 'POST', HOST, '/visits/first', DEADLINE_MS, b'{}')) for _ in range(4)]
    await asyncio.sleep(0.2)
    sent = {}

    async def waiting():
        began = now()
        attempt, outcome = await deployment.request(stopped, 'POST', HOST, '/visits/second', DEADLINE_MS, b'{}')
        sent[attempt] = (outcome, now() - began)

    for _ in range(3):
        jobs.append(asyncio.ensure_future(waiting()))
        await asyncio.sleep(0.1)
    await asyncio.gather(*jobs)
    reached = {event['id'] for event in deployment.events if event['event'] == 'reach'}
    lost = [attempt for attempt, (outcome, after_s) in sent.items()
            if outcome == 'closed' and attempt not in reached and SLACK_S < after_s < DEADLINE_MS / 1000 - 0.1]
    print('at the stopped machine:', [(outcome, round(after_s, 2)) for outcome, after_s in sent.values()], 'unanswered:', len(lost))
    return bool(lost)


sys.exit(play(case, os.path.dirname(os.path.abspath(__file__))))
