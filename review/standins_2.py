"""Stand-ins for the platform, the upstreams and the clients of the cases 6 to 10, on loopback addresses and the real clock.

Run as `standins_2.py upstream JSON` it is one upstream, a process of its own, which prints what reaches it and what it runs.
Imported, it has the platform's store, the node processes and the clients.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
NODE = os.path.join(REPOSITORY, 'target/bin/turmericspard')
PREFIX = 'X-Turmericspar-'
BEAT_S = 1.5


def now():
    return time.monotonic()


# HTTP

async def read_head(reader):
    """Returns the start line and the fields, whose names are in lower case; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get('content-length', '0')))


def answer(status, fields=(), body=b''):
    lines = ['HTTP/1.1 %d X' % status] + ['%s: %s' % pair for pair in fields] + ['Content-Length: %d' % len(body), '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Store:
    """The platform's store: keys, revisions, watches and leases."""

    def __init__(self, ip):
        self.ip = ip
        self.revision = 100
        self.items = {}
        self.removed = {}
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get('created-rev', self.revision)
        self.items[key] = {'key': key, 'value': base64.b64encode(value).decode(), 'revision': self.revision, 'created-rev': created, 'lease': lease}
        self.removed.pop(key, None)
        self.wake()

    def drop(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.removed[key] = self.revision
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        for lease in [lease for lease, (ends, _) in self.leases.items() if ends < now()]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item['lease'] == lease]:
            self.drop(key)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(' ')
                body = await read_body(reader, head[1])
                await asyncio.sleep(0.004)
                self.expire()
                url = urllib.parse.urlsplit(target)
                query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
                status, said = await self.handle(method, url.path, query, json.loads(body) if body else {})
                writer.write(answer(status, [('Content-Type', 'application/json'), ('Store-Era', '1')], json.dumps(said).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, path, query, body):
        call = path.rsplit('/turmericspar/', 1)[-1]
        if call == 'kv-key':
            item = self.items.get(query['key'])
            return (200, dict(item, **{'store-revision': self.revision})) if item else (404, {})
        if call == 'kv-range':
            keys = sorted(key for key in self.items if key.startswith(query.get('prefix', '')) and key > query.get('after', ''))
            return 200, {'items': [self.items[key] for key in keys], 'truncated': False, 'store-revision': self.revision}
        if call == 'kv-watch':
            return await self.watch(query)
        if call == 'kv-txn':
            return self.transact(body)
        if call == 'kv-lease':
            self.next_lease += 1
            self.leases[self.next_lease] = (now() + body['ttl-ms'] / 1000, body['ttl-ms'])
            return 200, {'lease': self.next_lease, 'ttl-ms': body['ttl-ms']}
        if call.startswith('kv-keep/'):
            lease = int(call.split('/')[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = (now() + self.leases[lease][1] / 1000, self.leases[lease][1])
            return 200, {'ttl-ms': self.leases[lease][1]}
        if call.startswith('kv-lease-end/'):
            self.end_lease(int(call.split('/')[1]))
            return 200, {}
        return 400, {}

    async def watch(self, query):
        after = int(query['after'])
        if after > self.revision:
            return 410, {}
        until = now() + int(query['wait-ms']) / 1000
        while True:
            events = [item for key, item in self.items.items() if key.startswith(query['prefix']) and item['revision'] > after]
            events += [{'key': key, 'revision': revision, 'tombstone': True}
                       for key, revision in self.removed.items() if key.startswith(query['prefix']) and revision > after]
            if events or now() >= until:
                return 200, {'events': sorted(events, key=lambda event: event['revision']), 'store-revision': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body.get('expected-rev', []):
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                return 412, {'items': [item] if item else []}
        if any(put.get('lease') and put['lease'] not in self.leases for put in body.get('puts', [])):
            return 404, {}
        if any(put['key'].startswith(('op/', 'servers/')) for put in body.get('puts', [])):
            return 403, {}
        for put in body.get('puts', []):
            self.put(put['key'], base64.b64decode(put['value']), put.get('lease', 0))
        for key in body.get('drop', []):
            self.drop(key)
        return 200, {'revision': self.revision}


# Upstreams

class Upstream:
    """An application backend. A path may tell how long a run takes: /prefix/MILLISECONDS/anything. One with `poison` in it crashes the process."""

    def __init__(self, shape):
        self.shape = shape
        self.running = 0
        self.waiting = []
        self.seq = 0
        self.state = 'ready'
        self.extra = []

    def say(self, event, **fields):
        print(json.dumps(dict(fields, t=now(), event=event, instance=self.shape['id'])), flush=True)

    async def run(self):
        host, port = self.shape['address'].split(':')
        await asyncio.start_server(self.serve, host, int(port), limit=1 << 20, backlog=512)
        self.say('up')
        self.reading = asyncio.ensure_future(self.commands())
        while True:
            if not self.shape.get('silent'):
                await self.heartbeat()
            await asyncio.sleep(BEAT_S)

    async def commands(self):
        """Takes a line of JSON with new attributes from standard input; a change of state is announced at once."""
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while True:
            line = await reader.readline()
            if not line:
                os._exit(0)
            command = json.loads(line)
            self.extra = command.get('extra', self.extra)
            self.shape.update(command.get('shape', {}))
            if 'state' in command:
                self.state = command['state']
                await self.heartbeat()

    async def heartbeat(self):
        self.seq += 1
        said = {'service': self.shape['service'], 'address': self.shape['address'], 'zone': self.shape['zone'], 'version': 'v1',
                'slots': self.shape['slots'], 'state': self.state, 'warmup-left-ms': 0, 'seq': self.seq, 'born': self.shape['born']}
        path = '/turmericspar/rpc?call=instances.heartbeat&of=' + self.shape['id']
        try:
            status, _, _ = await asyncio.wait_for(call(self.shape['control'], 'POST', path, [('Content-Type', 'application/json')], json.dumps(said).encode()), 1)
            if status // 100 == 2 and self.state == 'draining':
                self.say('drain acknowledged')
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if not await self.one(reader, writer, head, body):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def one(self, reader, writer, head, body):
        """Serves one request. Returns whether the connection goes on."""
        target = head[0].split(' ')[1]
        fields = head[1]
        attempt = fields.get((PREFIX + 'Attempt-Id').lower(), '')
        wanted = fields.get((PREFIX + 'Target-Instance').lower(), '')
        about = {'id': attempt, 'target': target, 'bytes': len(body), 'caller': fields.get((PREFIX + 'Caller-Service').lower(), '')}
        self.say('reach', **about)
        common = [(PREFIX + 'Attempt-Id', attempt), ('Keep-Alive', 'timeout=10')] + [tuple(pair) for pair in self.extra]
        if not attempt or (wanted and wanted != self.shape['id']):
            writer.write(answer(421 if attempt else 400, common + [(PREFIX + 'Not-Executed', '1')]))
            return True
        deadline = now() + float(fields.get((PREFIX + 'Deadline-Remaining-Ms').lower(), '60000')) / 1000
        gone = asyncio.ensure_future(reader.read(1))
        try:
            if not await self.enter(gone, deadline):
                if gone.done():
                    return False
                writer.write(answer(503, common + [(PREFIX + 'Not-Executed', '1')]))
                return True
            self.say('run', **about)
            if 'poison' in target:
                os._exit(1)
            try:
                parts = target.strip('/').split('/')
                seconds = float(parts[1]) / 1000 if len(parts) > 2 and parts[1].isdigit() else self.shape['work_ms'] / 1000
                seconds *= self.shape.get('slow', 1)
                left = deadline - now()
                await asyncio.wait([gone], timeout=max(0, min(seconds, left)))
                ended = 'left' if gone.done() else ('done' if seconds <= left else 'late')
                self.say('end', how=ended, **about)
            finally:
                self.leave()
            if ended == 'left':
                return False
            size = self.shape.get('answer_bytes', 400)
            signature = (PREFIX + 'Server-Signature', '%s.%s' % (self.shape['id'], attempt))
            load = (PREFIX + 'Server-Load', '%d,%d,%d' % (self.running, len(self.waiting), self.shape['slots']))
            writer.write(answer(200 if ended == 'done' else 504, common + [signature, load], b'x' * size if ended == 'done' else b''))
            await writer.drain()
            return True
        finally:
            if not gone.done():
                gone.cancel()
                try:
                    await gone
                except asyncio.CancelledError:
                    pass

    async def enter(self, gone, deadline):
        """Waits for a slot. Returns whether the request has one."""
        if self.running < self.shape['slots']:
            self.running += 1
            return True
        if len(self.waiting) >= self.shape.get('queue', self.shape['slots']):
            return False
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await asyncio.wait([turn, gone], timeout=max(0, deadline - now()), return_when=asyncio.FIRST_COMPLETED)
        if turn.done():
            return True
        self.waiting.remove(turn)
        return False

    def leave(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


# Clients

async def call(address, method, path, fields, body=b''):
    """One call on a connection of its own. Returns status, fields and body."""
    host, port = address.split(':')
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
    try:
        return await exchange(reader, writer, method, path, ([('Host', address)] if not any(name == 'Host' for name, _ in fields) else []) + fields, body)
    finally:
        writer.close()


async def exchange(reader, writer, method, path, fields, body=b''):
    lines = ['%s %s HTTP/1.1' % (method, path)] + ['%s: %s' % pair for pair in fields]
    if body or method != 'GET':
        lines.append('Content-Length: %d' % len(body))
    writer.write('\r\n'.join(lines + ['', '']).encode('latin-1') + body)
    await writer.drain()
    head = await read_head(reader)
    if head is None:
        raise ConnectionResetError('closed without an answer')
    return int(head[0].split(' ')[1]), head[1], await read_body(reader, head[1])


# Deployments

def free_ports(ip, count):
    import socket
    held = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        held.append(sock)
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


def fill(template, fields):
    def value(match):
        found = fields
        for part in match.group(1).split('.'):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)
    return re.sub(r'\{\{([^}]*)\}\}', value, template)


class Machine:
    """One machine: its node process and its upstream process."""

    def __init__(self, deployment, index, zone, service, shape):
        self.deployment = deployment
        self.name = 'sidecar-%s-%d' % (zone, index)
        self.ip = '127.%d.%d.%d' % (40 + os.getpid() % 80, os.getpid() // 80 % 250, index + 1)
        self.zone = zone
        self.service = service
        self.shape = shape
        self.runs = 0
        self.ports = free_ports(self.ip, 7)
        self.settings = os.path.join(deployment.folder, self.name + '.yaml')
        self.node = None
        self.upstream = None
        self.outbound = '%s:%d' % (self.ip, self.ports[1])
        self.ready = '%s:%d' % (self.ip, self.ports[2])
        self.control = '%s:%d' % (self.ip, self.ports[3])
        self.metrics = '%s:%d' % (self.ip, self.ports[5])

    def write_settings(self):
        address = '%s:%d'
        fields = {'node-id': self.name, 'zone': self.zone, 'service': self.service, 'ip': self.ip,
                  'listen-addrs': {'inbound': address % (self.ip, self.ports[0]), 'outbound': self.outbound, 'ready': self.ready, 'control': self.control},
                  'port-range': [self.ports[4], self.ports[5]], 'platform': {'address': self.deployment.store.address}}
        with open(os.path.join(REPOSITORY, 'deploy/settings.yaml')) as template:
            text = fill(template.read(), fields)
        with open(self.settings, 'w') as out:
            out.write(text)

    def start_node(self):
        self.write_settings()
        self.log = open(os.path.join(self.deployment.folder, self.name + '.log'), 'ab')
        environment = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        environment['TURMERICSPAR_CONFIG'] = self.settings
        self.node = subprocess.Popen([NODE, '--settings=' + self.settings], cwd=REPOSITORY, env=environment, stdout=self.log, stderr=self.log)
        self.deployment.processes.append(self.node)
        self.deployment.record('node started', machine=self.name, pid=self.node.pid)

    async def start_upstream(self):
        self.runs += 1
        self.born = int(time.time() * 1000)
        shape = dict(self.shape, id='i-%d-%s' % (self.runs, self.name), address='%s:%d' % (self.ip, self.ports[6]), service=self.service,
                     zone=self.zone, control=self.control, born=self.born)
        self.upstream = await asyncio.create_subprocess_exec(
            sys.executable, os.path.abspath(__file__), 'upstream', json.dumps(shape), stdin=subprocess.PIPE, stdout=subprocess.PIPE, limit=1 << 20)
        self.deployment.processes.append(self.upstream)
        self.deployment.tasks.append(asyncio.ensure_future(self.follow(self.upstream)))

    async def follow(self, process):
        while True:
            line = await process.stdout.readline()
            if not line:
                return
            self.deployment.note(dict(json.loads(line), machine=self.name))

    def tell_upstream(self, **command):
        self.upstream.stdin.write(json.dumps(command).encode() + b'\n')

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(call(self.ready, 'GET', '/turmericspar/readiness', []), 1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Deployment:
    """A small deployment, its record, and what is still to be ended."""

    def __init__(self, record_path):
        self.folder = tempfile.mkdtemp(prefix='turmericspar-review-')
        self.processes = []
        self.tasks = []
        self.machines = []
        self.events = []
        self.attempts = 0
        self.started = now()
        self.out = open(record_path, 'w')

    def note(self, event):
        self.events.append(event)
        self.out.write(json.dumps(dict(event, t=round(event['t'] - self.started, 4))) + '\n')

    def record(self, what, **fields):
        self.note(dict(fields, event=what, t=now()))

    async def start(self, machines, routes, services, limits=None):
        """machines: rows of zone, service, shape of the upstream; routes as in the operator's configuration."""
        self.store = Store('127.0.0.1')
        await self.store.start()
        self.put_configuration('00000007', routes, services, limits)
        self.machines = [Machine(self, index, *row) for index, row in enumerate(machines)]
        for machine in self.machines:
            machine.start_node()
        await asyncio.sleep(0.3)
        for machine in self.machines:
            await machine.start_upstream()
        for _ in range(100):
            if all([await machine.is_ready() for machine in self.machines]):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError('the nodes did not become ready')
        await asyncio.sleep(4)

    async def connect(self, machine):
        """Opens a connection that is kept for several requests."""
        host, port = machine.outbound.split(':')
        return await asyncio.open_connection(host, int(port), limit=1 << 20)

    def put_configuration(self, version, routes, services, limits=None):
        limits = limits or {'max-header-bytes': 16384, 'max-body-bytes': 67108864, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15000}
        self.store.put('op/config', json.dumps({
            'version': version, 'routes': routes, 'limits': limits,
            'services': [{'name': name, 'health-check': '/health', 'max-connections': 316, 'protocol': 'h1', 'tls': False} for name in services]}).encode())

    async def request(self, machine, method, host, path, deadline_ms, body=b'', leave_after_s=None, connection=None):
        """Sends one request and records it. Returns its id and its outcome: a status, 'closed' without a whole answer, or 'left'."""
        attempt = self.new_id()
        fields = [('Host', host), (PREFIX + 'Attempt-Id', attempt), (PREFIX + 'Deadline-Remaining-Ms', str(deadline_ms))]
        self.record('client sends', id=attempt, machine=machine.name, path=path, bytes=len(body))
        try:
            sending = exchange(*connection, method, path, fields, body) if connection else call(machine.outbound, method, path, fields, body)
            outcome = (await asyncio.wait_for(sending, leave_after_s))[0]
        except asyncio.TimeoutError:
            outcome = 'left'
        except (OSError, asyncio.IncompleteReadError):
            outcome = 'closed'
        self.record('client ends', id=attempt, machine=machine.name, outcome=outcome)
        return attempt, outcome

    def new_id(self):
        self.attempts += 1
        return '%08x%08x' % (os.getpid(), self.attempts)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.returncode is None and not (isinstance(process, subprocess.Popen) and process.poll() is not None):
                try:
                    process.send_signal(signal.SIGKILL)
                except ProcessLookupError:
                    pass
        for process in self.processes:
            waited = process.wait()
            if asyncio.iscoroutine(waited):
                await waited
        self.out.close()
        if os.environ.get('KEEP_LOGS'):
            print('logs:', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, kind, service, timeout_ms, attempts=2, priority=1, target_ms=1500):
    return {'name': name, 'host': host, 'prefix': prefix, 'type': kind, 'timeout-ms': timeout_ms, 'target-latency-ms': target_ms,
            'priority': priority, 'service': service, 'attempts': attempts}


def play(case, folder, limit_s=115):
    """Runs a case. Returns 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    async def whole():
        deployment = Deployment(os.path.join(folder, 'record.txt'))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            broken = await asyncio.wait_for(case(deployment), limit_s)
            deployment.record('verdict', broken=broken)
            print('broken' if broken else 'held')
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            deployment.record('could not run', error=repr(error))
            print('could not run:', repr(error))
            return 2
        finally:
            await deployment.stop()
    if not os.path.exists(NODE):
        print('could not run: no', NODE)
        return 2
    return asyncio.run(whole())


if __name__ == '__main__' and sys.argv[1:2] == ['upstream']:
    try:
        asyncio.run(Upstream(json.loads(sys.argv[2])).run())
    except KeyboardInterrupt:
        pass
