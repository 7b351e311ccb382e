"""Stand-ins for the platform: its store, backends, clients and a delaying proxy, and the start of nodes with the commands of the deploy file.

Only the standard library is used. Every address is a loopback address. All stand-ins run in one asyncio loop; nodes are separate processes.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_S = 112  # a case may run for 120 s

ATTEMPT_ID = "X-Turmericspar-Attempt-Id"
DEADLINE = "X-Turmericspar-Deadline-Remaining-Ms"
SIGNATURE = "X-Turmericspar-Server-Signature"
TARGET = "X-Turmericspar-Target-Instance"
NOT_EXECUTED = "X-Turmericspar-Not-Executed"

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


class Record:
    """The log of a run: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Broken(Exception):
    """The connection ended before a whole message was read."""


async def read_message(reader):
    """Reads one HTTP message. Returns its first line, its fields in lower case, and its body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("in a head") from error
        return None
    except (ConnectionError, OSError) as error:
        raise Broken(str(error)) from error
    lines = head.decode("latin1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Broken("in a body") from error
    return lines[0], fields, body


def message(first, fields, body=b""):
    text = first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin1") + body


def response(status, fields=None, body=b""):
    return message(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", fields or {}, body)


async def close(writer):
    try:
        writer.close()
    except (ConnectionError, OSError, RuntimeError):
        pass


class Store:
    """The platform's metadata store: items with revisions, leases and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.removed = {}
        self.leases = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.era = 1
        self.servers = []
        self.watching = {}  # by machine: when it last began a watch
        self.rejected = set()  # machines whose calls get 503

    async def start(self, host="127.0.0.1"):
        self.address = await self.listen("", host)
        self.expiry = asyncio.create_task(self.expire())

    async def listen(self, machine, host="127.0.0.1"):
        """Opens an address of its own for a machine, so that the store can tell machines apart. Returns it."""
        server = await asyncio.start_server(lambda reader, writer: self.serve(reader, writer, machine), host, 0, limit=4 << 20)
        self.servers.append(server)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (ttl, until) in list(self.leases.items()):
                if time.monotonic() > until:
                    del self.leases[lease]
                    for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                        self.drop(key)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created-rev", self.revision)
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created-rev": created, "lease": lease}
        self.wake()

    def drop(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.removed[key] = self.revision
            self.wake()

    async def serve(self, reader, writer, machine):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if "/kv-watch?" in request[0]:
                    self.watching[machine] = time.monotonic()
                status, body = (503, {}) if machine in self.rejected else await self.handle(request, machine)
                if machine in self.rejected:
                    status, body = 503, {}
                writer.write(response(status, {"Content-Type": "application/json", "Store-Era": self.era}, json.dumps(body).encode()))
                await writer.drain()
        except (Broken, ConnectionError, OSError):
            pass
        finally:
            await close(writer)

    async def handle(self, request, machine):
        method, target, _ = request[0].split(" ")
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        body = json.loads(request[2]) if request[2] else {}
        if path == "/turmericspar/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, **{"store-revision": self.revision})) if item else (404, {"store-revision": self.revision})
        if path == "/turmericspar/kv-range":
            found = [i for k, i in sorted(self.items.items()) if k.startswith(query["prefix"]) and k > query.get("after", "")]
            return 200, {"items": found, "truncated": False, "store-revision": self.revision}
        if path == "/turmericspar/kv-watch":
            return await self.watch(query, machine)
        if path == "/turmericspar/kv-txn":
            return self.transact(body)
        if path == "/turmericspar/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (body["ttl-ms"] / 1000, time.monotonic() + body["ttl-ms"] / 1000)
            return 200, {"lease": self.next_lease, "ttl-ms": body["ttl-ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        if method == "DELETE":
            self.leases[lease] = (ttl, 0)
        else:
            self.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {"lease": lease, "ttl-ms": int(ttl * 1000)}

    async def watch(self, query, machine):
        after = int(query["after"])
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            changed = self.changed
            events = [i for k, i in self.items.items() if k.startswith(query["prefix"]) and i["revision"] > after]
            events += [{"key": k, "revision": r, "tombstone": True} for k, r in self.removed.items()
                       if k.startswith(query["prefix"]) and r > after and k not in self.items]
            left = until - time.monotonic()
            if events or left <= 0 or machine in self.rejected:
                return 200, {"events": sorted(events, key=lambda e: e["revision"]), "store-revision": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def watchers(self, within_s=4):
        return {machine for machine, at in self.watching.items() if time.monotonic() - at < within_s}

    def reject(self, machines):
        """Turns machines away: their calls get 503, those that wait too."""
        self.rejected = set(machines)
        self.wake()

    def transact(self, body):
        for row in body.get("expected-rev", []):
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                return 412, {"items": [self.items[row["key"]]] if row["key"] in self.items else []}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("drop", []):
            self.drop(key)
        return 200, {"revision": self.revision}

    def configure(self, version, routes, services, limits=None):
        """Writes a configuration as the operator does; the return is the acknowledgement."""
        document = {"version": "%08x" % version, "routes": routes,
                    "services": [{"name": s, "health-check": "/health", "max-connections": 316, "protocol": "h1", "tls": False} for s in services],
                    "limits": limits or {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
        self.put("op/config", json.dumps(document).encode())
        self.record.write(f"operator: version {version} acknowledged")
        return time.monotonic()


def route(name, service, kind="idempotent", timeout_ms=5000, attempts=2, priority=1, host="h.example"):
    return {"name": name, "host": host, "prefix": f"/{name}/", "type": kind, "timeout-ms": timeout_ms, "target-latency-ms": 1500,
            "priority": priority, "service": service, "attempts": attempts}


class Backend:
    """A backend beside a node: it runs requests, echoes their ids, signs its answers and sends heartbeats to the node's control address."""

    def __init__(self, record, service, zone, ip, work_s=0.02, slots=36):
        self.record, self.service, self.zone, self.ip, self.slots = record, service, zone, ip, slots
        self.work_s = work_s
        self.state = "ready"
        self.seq = 0
        self.id = "i-" + "%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, attempt id, path, finished)
        self.work = None  # coroutine function (backend, request) -> body; replaces the plain wait
        self.beating = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, free_port(self.ip), limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def begin_heartbeats(self, control, period=1.5):
        self.control = control
        self.beating = asyncio.create_task(self.beat_for_ever(period))

    def heartbeat(self):
        self.seq += 1
        body = json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                           "state": self.state, "warmup-left-ms": 0, "seq": self.seq, "born": self.born}).encode()
        return message(f"POST /turmericspar/rpc?call=instances.heartbeat&of={self.id} HTTP/1.1", {"Host": "control", "Content-Type": "application/json"}, body)

    def deregistration(self):
        self.seq += 1
        body = json.dumps({"born": self.born, "seq": self.seq}).encode()
        return message(f"POST /turmericspar/rpc?call=instances.deregister&of={self.id} HTTP/1.1", {"Host": "control", "Content-Type": "application/json"}, body)

    async def say(self, text, what, address=None):
        """Sends a message about this backend. Returns whether it was acknowledged within a second."""
        try:
            status, _, _ = await asyncio.wait_for(exchange(address or self.control, text), 1)
        except (asyncio.TimeoutError, Broken, ConnectionError, OSError):
            status = 0
        if what:
            self.record.write(f"backend {self.id}: {what} -> {status or 'no acknowledgement'}")
        return 200 <= status < 300

    async def beat_for_ever(self, period):
        while True:
            await self.say(self.heartbeat(), "")
            await asyncio.sleep(period)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                await self.answer(request, reader, writer)
        except (Broken, ConnectionError, OSError):
            pass
        finally:
            await close(writer)

    async def answer(self, request, reader, writer):
        line, fields, _ = request
        path = line.split(" ")[1]
        attempt = fields.get(ATTEMPT_ID.lower(), "")
        if path == "/health":
            writer.write(response(200 if self.state == "ready" else 503, {"X-Turmericspar-Instance-Id": self.id}))
            return
        if fields.get(TARGET.lower(), self.id) != self.id:
            self.record.write(f"backend {self.id}: {attempt} 421, meant for {fields[TARGET.lower()]}")
            writer.write(response(421, {"X-Turmericspar-Instance-Id": self.id, ATTEMPT_ID: attempt}))
            return
        run = [time.monotonic(), attempt, path, False]
        self.runs.append(run)
        self.record.write(f"backend {self.id} of {self.service}: runs {attempt} {path}")
        work = asyncio.ensure_future(self.work(self, request) if self.work else self.wait())
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            self.record.write(f"backend {self.id} of {self.service}: {attempt} was cut off while it ran")
            raise Broken("the connection ended during the work")
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        run[3] = True
        status, body = work.result()
        self.record.write(f"backend {self.id} of {self.service}: {attempt} done, {status}")
        fields = {ATTEMPT_ID: attempt, "X-Turmericspar-Server-Load": f"1,0,{self.slots}", SIGNATURE: "sig." + attempt}
        writer.write(response(status, fields, body))
        await writer.drain()

    async def wait(self):
        await asyncio.sleep(self.work_s)
        return 200, f"{self.service} {self.id}".encode()


async def connect(address, limit=1 << 20):
    host, port = address.rsplit(":", 1)
    return await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=limit), 1)


async def exchange(address, text):
    """Sends one request on a new connection. Returns status, fields and body of the answer."""
    reader, writer = await connect(address)
    try:
        writer.write(text)
        answer = await read_message(reader)
    finally:
        await close(writer)
    if answer is None:
        raise Broken("no answer")
    return int(answer[0].split(" ")[1]), answer[1], answer[2]


def new_id():
    return "%016x" % random.getrandbits(64)


def request(path, attempt, deadline_ms, method="GET", host="h.example", body=b""):
    fields = {"Host": host, ATTEMPT_ID: attempt, DEADLINE: int(deadline_ms)}
    if method == "GET":
        return (f"GET {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n").encode()
    return message(f"{method} {path} HTTP/1.1", fields, body)


async def ask(record, address, path, deadline_ms=5000, attempt=None, method="GET", body=b"", who="client"):
    """Sends one client attempt. Returns (status, fields, body); status 0 if the connection ended without an answer, -1 at the deadline."""
    attempt = attempt or new_id()
    record.write(f"{who}: sends {attempt} {method} {path} to {address}")
    try:
        answer = await asyncio.wait_for(exchange(address, request(path, attempt, deadline_ms, method, body=body)), deadline_ms / 1000)
    except asyncio.TimeoutError:
        answer = (-1, {}, b"")
    except (Broken, ConnectionError, OSError) as error:
        answer = (0, {}, str(error).encode())
    said = {0: "connection ended without an answer", -1: "no answer by the deadline"}.get(answer[0], str(answer[0]))
    record.write(f"{who}: {attempt} -> {said}{'' if answer[0] == 200 else ' ' + answer[2][:80].decode('latin1')}")
    return answer


class Proxy:
    """A TCP proxy whose open connections can go silent: bytes are no longer passed on and nothing is reset, while new connections work."""

    def __init__(self, target, host="127.0.0.1"):
        self.target, self.host = target, host
        self.pairs = []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        state = {"silent": False}
        self.pairs.append(state)
        try:
            upstream_reader, upstream_writer = await connect(self.target)
        except (ConnectionError, OSError, asyncio.TimeoutError):
            await close(writer)
            return

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    if state["silent"]:
                        continue
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            if not state["silent"]:
                await close(sink)

        await asyncio.gather(pump(reader, upstream_writer), pump(upstream_reader, writer))

    def silence(self):
        for state in self.pairs:
            state["silent"] = True
        return len(self.pairs)


class Front:
    """The address at which other nodes reach a node: a proxy for its links (TCP) that can go silent, and a forwarder for its gossip (UDP)."""

    def __init__(self, node, host):
        self.node, self.host = node, host
        self.address = f"{host}:{node.nodes.rsplit(':', 1)[1]}"

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        target = (self.node.ip, int(port))
        self.proxy = Proxy(self.node.nodes, host)
        await self.proxy.start(int(port))

        class Forwarder(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                self.transport = transport

            def datagram_received(self, data, source):
                self.transport.sendto(data, target)

        await asyncio.get_running_loop().create_datagram_endpoint(Forwarder, local_addr=(host, int(port)))


def free_port(host):
    """A free port below those that the system gives to outgoing connections, so that a listener can be opened again on it."""
    while True:
        port = random.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
                return port
            except OSError:
                pass


def render(template, values):
    """Fills in a template of the deploy file. Covers the placeholders that this project's template uses."""

    def value(match):
        found = values
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)

    return re.sub(r"\{\{([a-z0-9.\-]+)\}\}", value, template)


class Node:
    """A node process, started with the command of the deploy file and settings from its template."""

    def __init__(self, record, directory, name, ip, zone, service, store, front=None):
        self.record, self.name, self.ip = record, name, ip
        self.outbound = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.control = f"{ip}:{free_port(ip)}"
        values = {"node-id": name, "zone": zone, "service": service, "ip": ip, "port-range": [free_port(ip), free_port(ip)],
                  "listen-addrs": {"outbound": self.outbound, "ready": self.ready, "control": self.control}, "platform": {"address": store}}
        self.nodes = f"{ip}:{values['port-range'][0]}"
        self.front = Front(self, front) if front else None
        deploy = open(os.path.join(ROOT, "deploy/system.toml")).read()
        run = re.search(r'^run = "(.*)"', deploy, re.M).group(1).split(" ")
        template = open(os.path.join(ROOT, re.search(r'^template = "(.*)"', deploy, re.M).group(1))).read()
        self.settings = os.path.join(directory, name + ".yaml")
        with open(self.settings, "w") as file:
            text = render(template, values)
            if self.front:
                text = text.replace("  operators:", f'  advertised: "{self.front.address}"\n  operators:')
            file.write(text)
        self.command = [word.replace("/etc/turmericspar/settings.yaml", self.settings) for word in run]
        self.log = os.path.join(directory, name + ".log")
        self.process = None

    async def start(self):
        if self.front and not hasattr(self.front, "proxy"):
            await self.front.start()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["TURMERICSPAR_CONFIG"] = self.settings
        command = [os.environ.get("REVIEW_NODE", self.command[0])] + self.command[1:]
        log = open(self.log, "a")
        self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.record.write(f"{self.name}: started, pid {self.process.pid}")

    def signal(self, number):
        self.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def ended(self, timeout):
        try:
            return await asyncio.wait_for(self.process.wait(), timeout)
        except asyncio.TimeoutError:
            return None

    def memory_kb(self):
        try:
            for line in open(f"/proc/{self.process.pid}/status"):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        except (OSError, ProcessLookupError):
            pass
        return 0

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(exchange(self.ready, b"GET /turmericspar/readiness HTTP/1.1\r\nHost: r\r\n\r\n"), 0.5)
        except (asyncio.TimeoutError, Broken, ConnectionError, OSError):
            return False
        return status == 200

    async def wait_ready(self, timeout=10):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await self.is_ready():
                self.record.write(f"{self.name}: ready")
                return
            await asyncio.sleep(0.05)
        raise SystemExit(2)

    async def kill(self):
        if self.running():
            self.process.kill()
            await self.process.wait()


def ips(count):
    """Loopback addresses of this run."""
    second, third = random.randrange(16, 240), random.randrange(1, 250)
    return [f"127.{second}.{third}.{10 + i}" for i in range(count)]


def main(case, case_directory):
    """Runs a case: a coroutine function (record, directory, nodes) that returns whether the rule held, or None if that can't be told.
    Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run."""
    record = Record(os.path.join(case_directory, "record.txt"))
    directory = tempfile.mkdtemp(prefix="turmericspar-review-")
    nodes = []
    record.write(f"trouble: {'yes' if TROUBLE else 'no'}")

    async def run():
        task = asyncio.ensure_future(case(record, directory, nodes))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, LONGEST_S)
        finally:
            for node in nodes:
                await node.kill()

    held = None
    try:
        held = asyncio.run(run())
    except BaseException as error:  # whatever keeps the case from running is no verdict
        record.write(f"the case could not run: {error!r}")
    if os.environ.get("REVIEW_KEEP"):
        print(directory)
    else:
        shutil.rmtree(directory, ignore_errors=True)
    status = 2 if held is None else 0 if held else 1
    record.write({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "no result"}[status])
    print("\n".join(open(os.path.join(case_directory, "record.txt")).read().splitlines()[-2:]))
    sys.stdout.flush()
    # Skips the destructors of streams whose loop has ended.
    os._exit(status)
