"""Stand-ins for the platform, its store, backends and clients, for the scripts of the third review.

One asyncio process plays everything around the nodes; the nodes are the project's own program, started with the command,
the environment and the settings template of deploy/system.toml. All addresses are loopback addresses.
"""
import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
ATTEMPT = "X-Turmericspar-Attempt-Id"
REMAINING = "X-Turmericspar-Deadline-Remaining-Ms"
TARGET = "X-Turmericspar-Target-Instance"
SIGNATURE = "X-Turmericspar-Server-Signature"
NOT_EXECUTED = "X-Turmericspar-Not-Executed"
STORE_PORT = "store"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Fields(list):
    """Header fields in order; names compare case-insensitively."""

    def get(self, name, fallback=None):
        for known, value in self:
            if known.lower() == name.lower():
                return value
        return fallback


class Message:
    def __init__(self, start, fields, body=b""):
        self.start, self.fields, self.body = start, fields, body

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Returns the first line and the fields of a message, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head[:-4].decode("latin-1").split("\r\n")
    fields = Fields()
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.strip(), value.strip()))
    return lines[0], fields


async def read_body(reader, fields):
    if (fields.get("Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("Content-Length") or 0))


async def read_message(reader):
    start, fields = await read_head(reader)
    return Message(start, fields, await read_body(reader, fields))


def response(status, body=b"", fields=()):
    reasons = {200: "OK", 204: "No Content", 404: "Not Found", 412: "Precondition Failed", 421: "Misdirected Request",
               429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}
    head = f"HTTP/1.1 {status} {reasons.get(status, 'Status')}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it, without faults of its own."""

    def __init__(self, address):
        self.address = address
        self.items, self.leases, self.history = {}, {}, []
        self.revision = 100
        self.lease_ids = itertools.count(5000)
        self.changed = asyncio.Event()

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port)
        self.expiry = asyncio.create_task(self.expire_leases())

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            for lease in [key for key, (_, until) in self.leases.items() if until < time.monotonic()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply([], keys)

    def apply(self, puts, drops):
        self.revision += 1
        for put in puts:
            created = self.items.get(put["key"], {}).get("created-rev", self.revision)
            item = {"key": put["key"], "value": put["value"], "revision": self.revision, "created-rev": created,
                    "lease": put.get("lease", 0)}
            self.items[put["key"]] = item
            self.history.append(item)
        for key in drops:
            if self.items.pop(key, None):
                self.history.append({"key": key, "revision": self.revision, "tombstone": True})
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Writes as the operator."""
        self.apply([{"key": key, "value": base64.b64encode(value).decode()}], [])

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                status, body = await self.answer(request)
                writer.write(response(status, json.dumps(body).encode(), [("Content-Type", "application/json")]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        from urllib.parse import parse_qs, urlsplit
        method, target, _ = request.start.split(" ")
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        path = url.path.removeprefix("/turmericspar/")
        if path == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store-revision": self.revision}) if item else (404, {"store-revision": self.revision})
        if path == "kv-range":
            found = [self.items[key] for key in sorted(self.items)
                     if key.startswith(query["prefix"]) and key > query.get("after", "")]
            return 200, {"items": found[:500], "truncated": len(found) > 500, "store-revision": self.revision}
        if path == "kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait-ms"]) / 1000)
        if path == "kv-txn":
            return self.transaction(body)
        if path == "kv-lease":
            lease = next(self.lease_ids)
            self.leases[lease] = (body["ttl-ms"] / 1000, time.monotonic() + body["ttl-ms"] / 1000)
            return 200, {"lease": lease, "ttl-ms": body["ttl-ms"]}
        lease = int(path.split("/")[-1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {"ttl-ms": int(ttl * 1000)}

    async def watch(self, prefix, after, wait):
        until = time.monotonic() + wait
        while True:
            events = [event for event in self.history if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transaction(self, body):
        for condition in body.get("expected-rev", []):
            if self.items.get(condition["key"], {}).get("revision", 0) != condition["revision"]:
                return 412, {"items": [self.items[c["key"]] for c in body["expected-rev"] if c["key"] in self.items]}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
        self.apply(body.get("puts", []), body.get("drop", []))
        return 200, {"revision": self.revision}


class Backend:
    """An application backend beside one node: runs requests, and announces itself by heartbeats."""

    def __init__(self, machine, record, service, slots=36, work_s=0.02, heartbeat_s=1.5):
        self.machine, self.record, self.service = machine, record, service
        self.slots, self.work_s, self.heartbeat_s = slots, work_s, heartbeat_s
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.runs = []  # (time, attempt id)
        self.running = 0
        self.extra_fields = []
        self.connections = set()
        self.beats = None
        self.acknowledged_leaving = None

    async def start(self):
        host, port = self.machine.app
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        self.beats = asyncio.create_task(self.beat_forever())

    async def beat_forever(self):
        while True:
            try:
                await self.beat()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(self.heartbeat_s)

    def heartbeat(self):
        self.seq += 1
        host, port = self.machine.app
        return {"service": self.service, "address": f"{host}:{port}", "zone": self.machine.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "warmup-left-ms": 0, "seq": self.seq, "born": self.born}

    async def beat(self):
        content = self.heartbeat()
        status = await post_control(self.machine, f"/turmericspar/rpc?call=instances.heartbeat&of={self.id}", content)
        if 200 <= status < 300 and content["state"] == "draining" and self.acknowledged_leaving is None:
            self.acknowledged_leaving = self.record.now()
            self.record(f"backend {self.id} draining, acknowledged, seq {content['seq']}")
        return status

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self.answer(request, reader, writer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        attempt = request.fields.get(ATTEMPT, "")
        if request.fields.get(TARGET) not in (None, self.id):
            return response(421, b"", [(ATTEMPT, attempt), ("X-Turmericspar-Instance-Id", self.id)])
        if self.running >= self.slots:
            return response(503, b"", [(ATTEMPT, attempt), (NOT_EXECUTED, "1")])
        self.runs.append((self.record.now(), attempt))
        self.record(f"run {attempt} at {self.id} {request.start.split(' ')[0]} {request.start.split(' ')[1]} body {len(request.body)}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return response(200, f"done {attempt}".encode(),
                        [(ATTEMPT, attempt), (SIGNATURE, f"sig.{attempt}"), ("X-Turmericspar-Server-Load", f"{self.running},0,{self.slots}")]
                        + self.extra_fields)


async def post_control(machine, path, content):
    """Calls the control address of a machine. Returns the status."""
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    host, port = machine.control
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1)
    try:
        head = f"POST {path} HTTP/1.1\r\nHost: {host}:{port}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        answer = await asyncio.wait_for(read_message(reader), 1)
        return answer.status
    finally:
        writer.close()


class Machine:
    """A machine with one node, which the platform starts, watches and stops."""

    def __init__(self, bed, number, zone, service):
        self.bed, self.zone, self.service = bed, zone, service
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"127.{bed.net[0]}.{bed.net[1]}.{10 + number}"
        ports = bed.ports
        self.outbound = (self.ip, ports["outbound"])
        self.ready = (self.ip, ports["ready"])
        self.control = (self.ip, ports["control"])
        self.app = (self.ip, ports["app"])
        self.process = None
        self.ends = []  # (time, reason) of processes that ended without being asked to
        self.expected_end = False
        self.restart = True

    def settings(self):
        text = (ROOT / self.bed.role["template"]).read_text()
        join = lambda address: f"{address[0]}:{address[1]}"
        values = {"node-id": self.name, "zone": self.zone, "service": self.service, "ip": self.ip,
                  "listen-addrs.outbound": join(self.outbound), "listen-addrs.control": join(self.control),
                  "listen-addrs.ready": join(self.ready), "port-range.0": str(self.bed.ports["nodes"]),
                  "port-range.1": str(self.bed.ports["operators"]), "platform.address": join(self.bed.store.address)}
        return re.sub(r"\{\{([^}]*)\}\}", lambda match: values[match.group(1)], text)

    async def start(self):
        path = self.bed.folder / f"{self.name}.yaml"
        path.write_text(self.settings())
        words = self.bed.role["run"].replace("/etc/turmericspar/settings.yaml", str(path)).split(" ")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["TURMERICSPAR_CONFIG"] = str(path)
        for name, value in self.bed.role.get("env", {}).items():
            environment[name] = value.replace("{{bounds.grace-s}}", "6")
        log = open(self.bed.folder / f"{self.name}.log", "ab")
        self.expected_end = False
        self.process = await asyncio.create_subprocess_exec(*words, cwd=ROOT, env=environment, stdout=log, stderr=log,
                                                            stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.watcher = asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        status = await process.wait()
        if self.expected_end or self.bed.closing:
            return
        self.ends.append((self.bed.record.now(), status))
        self.bed.record(f"process of {self.name} ended by itself, status {status}")
        if self.restart:
            await asyncio.sleep(1)
            await self.start()

    def signal(self, number):
        self.process.send_signal(number)

    async def stop(self, number, wait=True):
        """Ends the process as the platform does."""
        self.expected_end = True
        self.signal(number)
        if wait:
            await self.process.wait()

    def rss_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found.group(1)) * 1024 / 1e6 if found else 0.0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1)
            writer.write(b"GET /turmericspar/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def until_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Bed:
    """A small deployment on loopback."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="turmericspar-review-"))
        self.role = next(iter(tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values()))
        self.net = (random.randint(10, 250), random.randint(1, 250))
        self.ports = dict(zip(("outbound", "ready", "control", "app", "nodes", "operators", STORE_PORT), free_ports(7)))
        self.store = Store((f"127.{self.net[0]}.{self.net[1]}.9", self.ports[STORE_PORT]))
        self.machines, self.backends = [], []
        self.closing = False

    def add(self, zone, service, **shape):
        machine = Machine(self, len(self.machines) + 1, zone, service)
        self.machines.append(machine)
        backend = Backend(machine, self.record, service, **shape)
        self.backends.append(backend)
        return machine, backend

    def configure(self, version, routes, services, limits=None):
        document = {"version": f"{version:08x}", "routes": routes,
                    "services": [{"name": name, "health-check": "/health", "max-connections": 316} for name in services],
                    "limits": limits or {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000,
                                         "idle-timeout-ms": 15000}}
        self.store.put("op/config", json.dumps(document).encode())

    async def start(self):
        await self.store.start()
        for backend in self.backends:
            await backend.start()
        for machine in self.machines:
            await machine.start()
        for machine in self.machines:
            if not await machine.until_ready():
                return False
        await asyncio.sleep(3)
        return True

    async def close(self):
        self.closing = True
        for backend in self.backends:
            if backend.beats:
                backend.beats.cancel()
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, service, idempotent, timeout_ms=5000, attempts=2):
    return {"name": name, "host": host, "prefix": prefix, "type": "idempotent" if idempotent else "non_idempotent",
            "timeout-ms": timeout_ms, "target-latency-ms": 1500, "priority": 1, "service": service, "attempts": attempts}


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def new_id():
    return f"{random.getrandbits(64):016x}"


def request_bytes(method, host, path, attempt, remaining_ms, body=b"", fields=()):
    head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{ATTEMPT}: {attempt}\r\n{REMAINING}: {remaining_ms}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode("latin-1") + b"\r\n" + body


class Connection:
    """A client's connection that is kept open for several requests."""

    def __init__(self, machine):
        self.machine = machine
        self.reader = self.writer = None

    async def send(self, data):
        if self.writer is None:
            self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.machine.outbound, limit=1 << 26), 1)
        self.writer.write(data)

    async def answer(self, seconds):
        return await asyncio.wait_for(read_message(self.reader), seconds)

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = self.reader = None


async def attempt(machine, record, method, host, path, remaining_ms=5000, body=b"", name=None):
    """Sends one request on a new connection. Returns (id, status or None, answer)."""
    name = name or new_id()
    connection = Connection(machine)
    record(f"sent {name} {method} {path} to {machine.name}")
    try:
        await connection.send(request_bytes(method, host, path, name, remaining_ms, body))
        answer = await connection.answer(remaining_ms / 1000 + 2)
        record(f"answered {name} {answer.status}")
        return name, answer.status, answer
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record(f"no answer {name} {type(error).__name__}")
        return name, None, None
    finally:
        connection.close()


def main(case, folder):
    """Runs a case: a coroutine function that takes the Bed and returns HELD, BROKEN or NOT_RUN."""
    async def run():
        bed = Bed(folder)
        bed.record(f"disruption: {'yes' if TROUBLE else 'no'}")
        try:
            return await asyncio.wait_for(case(bed), 115)
        except asyncio.TimeoutError:
            bed.record("the case took too long")
            return NOT_RUN
        finally:
            await bed.close()
    result = asyncio.run(run())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result])
    sys.exit(result)
