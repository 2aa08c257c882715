"""A small site on loopback for the scripts of the third review.

It starts the project's own program (the command of the deploy file) as separate processes, one per
machine, each at a loopback address of its own, and stand-ins of the platform's store, of backend
servers and of clients in this process. They speak what the users' pages say and use Python's standard
library only.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/release/mimosabayd")
HOST = "site.example"
KEY = "key-of-the-office"
TENANT = "office"
MODEL = "base"
HEARTBEAT_S = 1.2
MEMORY_MB = 260


def now():
    return time.monotonic()


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name, default)


async def read_request(reader):
    """Reads one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, path, headers, body)


def answer_bytes(status, headers, body, reason="-"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """Accepts connections at an address, and ends them all at once."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None

    async def open(self, ip, port=0):
        self.server = await asyncio.start_server(self._serve, ip, port, limit=1 << 20, backlog=512)
        return self.server.sockets[0].getsockname()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        """Refuses connections and breaks the open ones, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.listener = Listener(self._handle)
        self.address = None
        self.condition_writes = []

    async def open(self, ip):
        self.address = await self.listener.open(ip)

    def _publish(self, kind, item, deleted):
        self.events.append((self.revision, kind, {"deleted": deleted, "object": item}))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[(kind, name)] = item
        self._publish(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._publish(kind, item, True)

    async def open_for_one(self, ip, gate):
        """Opens another address, for one machine; no call there is answered once `gate` is set."""
        async def handle(reader, writer):
            await self._handle(reader, writer, gate)
        return await Listener(handle).open(ip)

    async def _handle(self, reader, writer, gate=None):
        while (request := await read_request(reader)) is not None:
            status, body = await self._answer(request)
            if gate and gate.is_set():
                await asyncio.sleep(3600)
            headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
            writer.write(answer_bytes(status, headers, json.dumps(body).encode()))
            await writer.drain()

    async def _answer(self, request):
        path, _, query_text = request.path.partition("?")
        query = dict(part.split("=", 1) for part in query_text.split("&") if "=" in part)
        parts = path.strip("/").split("/")
        if parts[:2] != ["api", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if request.method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), float(query.get("waitMs", 0)))
        if request.method == "GET":
            items = [item for (of, _), item in sorted(self.objects.items()) if of == kind]
            return 200, {"items": items, "hasMore": False, "currentRev": self.revision}
        return self._write(request, kind, name, query)

    async def _watch(self, kind, since, wait_ms):
        until = now() + wait_ms / 1000
        while True:
            changed = self.changed
            events = [event for rev, of, event in self.events if rev > since and of == kind]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _write(self, request, kind, name, query):
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        if request.method == "POST":
            name = metadata["name"]
            known = self.objects.get((kind, name))
            return (409, known) if known else (200, self.put(kind, name, body.get("spec")))
        known = self.objects.get((kind, name))
        if known is None:
            return 404, {}
        revision = query.get("revision", metadata.get("revision"))
        if revision is not None and int(revision) != known["metadata"]["revision"]:
            return 409, known
        if request.method == "DELETE":
            self.remove(kind, name)
            return 200, known
        return 200, self.put(kind, name, body.get("spec"))


class Server:
    """A backend server: an engine if it has places for adapters, else a plain one."""

    def __init__(self, site, service, number, adapter_slots=0, slots=64):
        self.site = site
        self.service = service
        self.number = number
        self.adapter_slots = adapter_slots
        self.slots = slots
        self.starts = 0
        self.address = None
        self.is_up = False
        self.crash_times = []
        self.beats = None

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.service}-{self.number}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.adapters = {}
        self.running = 0
        self.listener = Listener(self._handle)
        # The address of a server that has ended is free again at once.
        self.address = await self.listener.open(self.site.ip(200), self.address[1] if self.address else 0)
        self.is_up = True
        self.state = "ready"
        self.beat()
        self.beats = asyncio.create_task(self._beat_on())

    def beat(self):
        self.site.store.put("servers", self.id, self.entry())

    async def _beat_on(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    def models(self):
        if not self.adapter_slots:
            return []
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": MODEL, "version": 1, "adapters": adapters}]

    def entry(self):
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "zone-1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "stage": "unified",
            "models": self.models(),
            "sequence": self.sequence,
            "born": self.born,
        }

    def crash(self, down_s):
        """Ends at once; the entry is removed after three heartbeats, and a new incarnation follows."""
        if not self.is_up:
            return
        self.is_up = False
        self.beats.cancel()
        self.listener.end()
        self.crash_times.append(now())
        old = self.id
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self.site.store.remove, "servers", old)
        loop.call_later(down_s, lambda: asyncio.ensure_future(self.start()))

    async def _handle(self, reader, writer):
        while (request := await read_request(reader)) is not None:
            if not await self._answer(request, writer):
                return
            await writer.drain()

    async def _answer(self, request, writer):
        path = request.path.split("?")[0]
        expected = request.header("x-expect-instance")
        if expected and expected != self.id:
            writer.write(answer_bytes(421, [("X-Instance-Id", self.id)], b""))
            return True
        if path == "/healthz":
            writer.write(answer_bytes(200, [("X-Instance-Id", self.id)], b""))
        elif path == "/api/report":
            report = {
                "stage": "unified", "models": self.models(), "busy": False, "sequence": self.sequence,
                "waiting": 0, "running": self.running, "kvUsed": 0, "kvTotal": 250000, "handles": 0,
                "coming": [], "born": self.born,
            }
            writer.write(answer_bytes(200, [("Content-Type", "application/json")], json.dumps(report).encode()))
        elif path == "/api/order":
            writer.write(answer_bytes(self._order(json.loads(request.body)), [], b"{}"))
        else:
            return await self._run(request, writer)
        return True

    def _order(self, order):
        if order.get("fencingToken", 0) < self.fence:
            return 412
        self.fence = order["fencingToken"]
        if order.get("precondition", self.sequence) != self.sequence:
            return 409
        if "adapter" not in order:
            return 200
        self.sequence += 1
        if order["op"] == "unload":
            self.adapters.pop(order["adapter"], None)
            return 200
        self.adapters[order["adapter"]] = order.get("version") or 1
        return 202

    async def _run(self, request, writer):
        id = request.header("x-attempt-id")
        adapter = request.header("x-model").partition("/")[2]
        if self.adapter_slots and adapter and adapter not in self.adapters:
            writer.write(answer_bytes(421, [("X-Attempt-Id", id), ("X-Not-Executed", "1")], b""))
            return True
        if self.running >= self.slots:
            writer.write(answer_bytes(503, [("X-Attempt-Id", id), ("X-Not-Executed", "1")], b""))
            return True
        self.running += 1
        try:
            return await self.site.run(self, request, writer)
        finally:
            self.running -= 1

    def seal(self, request):
        return [("X-Attempt-Id", request.header("x-attempt-id")), ("X-Server-Seal", f"seal.{self.id}")]

    async def stream(self, request, writer, events=6, pause_s=0.03):
        """Answers with a stream of events."""
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in self.seal(request)]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(1, events + 1):
            event = f"id: {number}\ndata: {request.header('x-attempt-id')}.{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")
        return True


class Machine:
    """One machine with a process of the program."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.ip = site.ip(number)
        self.process = None
        self.log = os.path.join(site.folder, f"machine-{number}.log")
        self.settings = os.path.join(site.folder, f"machine-{number}.toml")
        self.front = (self.ip, site.port)
        self.starts = 0
        self.store_address = None

    def write_settings(self, bootstrap):
        store = self.store_address or self.site.store.address
        port = self.site.port
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(f"""nodeName = "edge-{self.number}"
role = "instance"
machineClass = "edge"
serves = ["edge"]
ip = "{self.ip}"
zone = "zone-1"
region = "region-1"
internalPorts = [{port + 10},{port + 25}]
seeds = []
bootstrap = {str(bootstrap).lower()}
faultCounted = false
discovery = "platform"
entry = "anycast"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"]
[zones]
zone-1 = "region-1"
[listen]
front = "{self.ip}:{port}"
ready = "{self.ip}:{port + 1}"
control = "{self.ip}:{port + 2}"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = {MEMORY_MB}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryRatio = 0.2
retryWindowS = 10
retryBurst = 54
quotaWindowS = 8
quotaOverage = 0.1
quotaSlack = 110000
leaseMs = 3000
thawMs = 300
fencingRequired = true
[platform]
address = "{store[0]}:{store[1]}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
""")

    async def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        self.starts += 1
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["MIMOSABAY_BOOT"] = self.settings
        with open(self.log, "ab") as log:
            # The command of deploy/system.toml.
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--metrics-port", "9464", cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.site.port + 1)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        except OSError:
            return False

    def memory_mb(self):
        """Resident memory in megabytes; 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0


class Answer:
    def __init__(self, status=None, headers=None, body=b"", is_complete=False, error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_complete = is_complete
        self.error = error

    def __str__(self):
        return f"{self.status or self.error} {'whole' if self.is_complete else 'cut'}"


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    answer = Answer(int(lines[0].split(" ")[1]), headers)
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        else:
            answer.body = await reader.readexactly(int(headers.get("content-length", 0)))
        answer.is_complete = True
    except (asyncio.IncompleteReadError, ConnectionError) as cause:
        answer.error = type(cause).__name__
    return answer


class Site:
    """Everything together. `run` is called by a server for each request that it runs."""

    def __init__(self, name, run, record=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="mimosabay-review.")
        self.name = name
        self.run = run
        self.store = Store()
        self.servers = []
        self.machines = []
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.port = self._free_ports()
        self.numbers = 0

    def ip(self, host):
        return f"{self.net}.{host}"

    def _free_ports(self):
        """Returns a port that is free at the machines' addresses, with those that follow from it."""
        for _ in range(50):
            port = random.randint(12000, 30000)
            try:
                for host in range(1, 9):
                    for needed in (port, port + 1, port + 2, port + 10, 9464):
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind((self.ip(host), needed))
                return port
            except OSError:
                self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        raise OSError("no free ports")

    def new_id(self):
        self.numbers += 1
        return f"{random.getrandbits(32):08x}{self.numbers:08x}"

    def configuration(self, version=1, routes=(), tenants=None):
        return {
            "version": version,
            "routes": list(routes),
            "services": [
                {
                    "name": "engines", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": False,
                    "engine": {
                        "slots": 64, "kvCapacity": 250000, "kvTokenBytes": 163840, "linkMbps": 1100000.0,
                        "moves": True, "backups": True, "stride": 4, "maxCount": 12, "hostMb": 130000.0,
                        "diskMb": 380000.0, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
                        "models": [{
                            "name": MODEL, "weightsMb": 65100.0, "loadS": 2.5, "adapters": 3000,
                            "adapterMb": 12.0, "warmS": 0.6, "diskS": 1.0,
                        }],
                        "weightsMb": 66500.0, "adapterSlots": 9, "loadsPerS": 4.2,
                    },
                },
                {"name": "desk", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": False},
            ],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
            },
            "tenants": tenants or [{
                "name": TENANT, "apiKeys": [KEY], "priority": 1, "unit": "token_based", "plainTokens": 200,
                "ratePerS": 2000000, "burst": 2000000,
            }],
        }

    async def start(self, machines, routes, engines=0, plain=0, tenants=None):
        if not os.path.exists(PROGRAM):
            raise SystemExit(2)
        await self.store.open(self.ip(201))
        self.store.put("config", "main", self.configuration(1, routes, tenants))
        for number in range(engines):
            self.servers.append(Server(self, "engines", number, adapter_slots=9))
        for number in range(plain):
            self.servers.append(Server(self, "desk", number, slots=64))
        for server in self.servers:
            await server.start()
        for number in range(1, machines + 1):
            machine = Machine(self, number)
            self.machines.append(machine)
            await machine.start(bootstrap=True)
        for machine in self.machines:
            await self.wait_ready(machine)
        await asyncio.sleep(1.0)

    async def wait_ready(self, machine, limit_s=15):
        until = now() + limit_s
        while not await machine.is_ready():
            if now() > until:
                raise RuntimeError(f"machine {machine.number} is not ready")
            await asyncio.sleep(0.1)

    async def send(self, machine, method, path, headers=(), body=b"", deadline_ms=5000, id=None, key=KEY):
        """Sends one request on a new connection."""
        id = id or self.new_id()
        if self.record:
            self.record(f"client sends {method} {path} {id} to machine {machine.number}")
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {id}", f"X-Deadline-Ms: {deadline_ms}"]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        writer = None
        try:
            async def exchange():
                nonlocal writer
                reader, writer = await asyncio.open_connection(*machine.front, limit=1 << 20)
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
                writer.write(body)
                await writer.drain()
                return await read_answer(reader)
            return id, await asyncio.wait_for(exchange(), deadline_ms / 1000 + 1)
        except asyncio.TimeoutError:
            return id, Answer(error="no answer by the deadline")
        except (OSError, asyncio.IncompleteReadError) as cause:
            return id, Answer(error=f"connection: {type(cause).__name__}")
        finally:
            if writer is not None:
                writer.close()

    async def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, **more):
    settings = {
        "name": name, "host": HOST, "pathPrefix": prefix, "routeKind": kind, "timeoutMs": 10000,
        "targetLatencyMs": 1000, "priority": 1, "service": service, "maxAttempts": 1, "public": False,
        "sticky": service == "engines", "resumable": False,
    }
    if kind == "streaming":
        settings["gapAimMs"] = 400
    settings.update(more)
    return settings


def main(folder, play):
    """Runs `play(trouble, record)`, which returns whether the rule held, within 115 seconds."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def bounded():
        # On SIGTERM too, `play` ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await asyncio.wait_for(play(trouble, record), 115)

    try:
        held = asyncio.run(bounded())
    except BaseException as cause:  # Any error of the script itself: the case could not run.
        record(f"the case could not run: {cause!r}")
        print(f"the case could not run: {cause!r}")
        sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
