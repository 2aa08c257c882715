"""A small site on the loopback interface: store, backend servers, instances and callers.

Only the standard library is used. The stand-ins follow the pages of the platform and do nothing else
than these allow. The instances are the project's own program, started as deploy/system.toml says.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HOST = "site.example"
KEY = "key-of-the-clinics"
TENANT = "clinics"
MODEL = "base"
HEARTBEAT_S = 1.2
SILENT_S = 30
ADAPTER_LOAD_S = 0.25
ADAPTER_SLOTS = 9
# Requests that may wait at a server beside those in its slots.
QUEUE = 24
RECONNECT_S = 0.8
ENGINES = "engines"
DESK = "desk"
REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "mimosabayd")


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
            self.file.flush()


# --- store ------------------------------------------------------------------------------------------


class Store:
    """The platform's store: objects by kind and name, conditional writes, lists and watches."""

    def __init__(self):
        self.condition = threading.Condition(threading.RLock())
        self.revision = 1
        self.objects = {}
        self.events = []
        # While it is away, it answers nothing: calls that arrive then are not done, and never answered.
        self.is_away = False
        self.away_count = 0
        store = self

        class Handler(StoreHandler):
            pass

        Handler.store = store
        self.server = StoreServer(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def write(self, kind, name, spec):
        with self.condition:
            known = self.objects.get((kind, name))
            if known and known["spec"] == spec:
                return known
            self.revision += 1
            found = {
                "metadata": {"name": name, "revision": self.revision, "finalizers": [], "deleting": False},
                "spec": spec,
                "status": {},
            }
            self.objects[(kind, name)] = found
            self.events.append((self.revision, kind, {"object": found, "deleted": False}))
            self.condition.notify_all()
            return found

    def go_away(self):
        """Answers nothing until it comes back."""
        with self.condition:
            self.is_away = True
            self.away_count += 1
            self.condition.notify_all()

    def come_back(self, lapsed=()):
        """Answers again. The entries of the servers named have lapsed meanwhile."""
        with self.condition:
            self.is_away = False
            for name in lapsed:
                self.remove("servers", name)

    def remove(self, kind, name):
        with self.condition:
            found = self.objects.pop((kind, name), None)
            if found:
                self.revision += 1
                self.events.append((self.revision, kind, {"object": found, "deleted": True}))
                self.condition.notify_all()


class StoreServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        """A caller that leaves before its answer is no error."""


class StoreHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    store = None

    def log_message(self, *_):
        pass

    def answer(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.send_header("Store-Era", "1")
        self.end_headers()
        self.wfile.write(data)

    def target(self):
        parts = urlsplit(self.path)
        names = parts.path.split("/")[3:]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        return names[0], (names[1] if len(names) > 1 else None), query

    def body(self):
        length = int(self.headers.get("Content-Length") or 0)
        return json.loads(self.rfile.read(length) or b"{}")

    def parse_request(self):
        if not super().parse_request():
            return False
        if self.store.is_away:
            self.stay_silent()
            return False
        return True

    def stay_silent(self):
        """Keeps the connection without an answer for longer than any call waits."""
        self.close_connection = True
        time.sleep(SILENT_S)

    def do_GET(self):
        kind, name, query = self.target()
        store = self.store
        if "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        with store.condition:
            if name:
                found = store.objects.get((kind, name))
                return self.answer(200, found) if found else self.answer(404, {"error": "none"})
            items = [found for (of_kind, _), found in sorted(store.objects.items()) if of_kind == kind]
            body = {"items": items, "hasMore": False, "currentRev": store.revision}
        self.answer(200, body)

    def watch(self, kind, after, wait_ms):
        store = self.store
        until = time.monotonic() + wait_ms / 1000
        with store.condition:
            away_count = store.away_count
            while store.away_count == away_count:
                events = [event for revision, of_kind, event in store.events if of_kind == kind and revision > after]
                left = until - time.monotonic()
                if events or left <= 0:
                    break
                store.condition.wait(left)
            is_lost = store.away_count != away_count
            body = None if is_lost else {"events": events, "currentRev": store.revision}
        if is_lost:
            return self.stay_silent()
        self.answer(200, body)

    def do_POST(self):
        kind, _, _ = self.target()
        body = self.body()
        name = body["metadata"]["name"]
        with self.store.condition:
            known = self.store.objects.get((kind, name))
            if known:
                return self.answer(409, known)
            found = self.store.write(kind, name, body.get("spec"))
        self.answer(201, found)

    def do_PUT(self):
        kind, name, _ = self.target()
        body = self.body()
        expected = body.get("metadata", {}).get("revision")
        with self.store.condition:
            known = self.store.objects.get((kind, name))
            if not known:
                return self.answer(404, {"error": "none"})
            if expected is not None and expected != known["metadata"]["revision"]:
                return self.answer(409, known)
            found = self.store.write(kind, name, body.get("spec"))
        self.answer(200, found)

    def do_DELETE(self):
        kind, name, query = self.target()
        with self.store.condition:
            known = self.store.objects.get((kind, name))
            if not known:
                return self.answer(404, {"error": "none"})
            if "revision" in query and int(query["revision"]) != known["metadata"]["revision"]:
                return self.answer(409, known)
            self.store.remove(kind, name)
        self.answer(200, known)


# --- HTTP on plain sockets ---------------------------------------------------------------------------


class Closed(Exception):
    """The peer has closed the connection."""


class Wire:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def more(self):
        try:
            data = self.sock.recv(65536)
        except OSError as cause:
            raise Closed from cause
        if not data:
            raise Closed
        self.buffer += data

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.more()
        text, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        pairs = (line.split(":", 1) for line in lines[1:])
        return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}

    def exactly(self, length):
        while len(self.buffer) < length:
            self.more()
        data, self.buffer = self.buffer[:length], self.buffer[length:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.more()
        data, self.buffer = self.buffer.split(b"\r\n", 1)
        return data

    def body(self, headers):
        if "chunked" in headers.get("transfer-encoding", ""):
            data = b""
            while size := int(self.line().split(b";")[0], 16):
                data += self.exactly(size)
                self.exactly(2)
            self.line()
            return data
        return self.exactly(int(headers.get("content-length") or 0))


def send(sock, data):
    try:
        sock.sendall(data)
    except OSError as cause:
        raise Closed from cause


# --- backend servers ---------------------------------------------------------------------------------


class Server:
    """A backend server that registers itself: an engine or a plain service."""

    def __init__(self, store, record, name, service, zone, slots=6, work_ms=30, version="v1",
                 adapters=None):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.version = version
        self.is_leaving = self.has_exited = self.is_released = False
        self.arrivals = []
        self.sockets = set()
        # Number of events of a stream, and the time between two.
        self.events, self.event_ms = 13, 20
        self.zone, self.slots, self.work_ms = zone, slots, work_ms
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.adapters = dict(adapters or {})
        # Adapters whose weights are being loaded: version and end of the load.
        self.coming = {}
        # Adapters that are unloaded once no request uses them, and the requests on each.
        self.unloading, self.uses = set(), {}
        self.places = threading.Semaphore(slots)
        self.waiting = 0
        self.runs = {}
        # Called with (socket, id, headers) for a request that was begun; returns whether it answered.
        self.trouble = None
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()
        self.register()
        threading.Thread(target=self.heartbeat, daemon=True).start()

    def heartbeat(self):
        """Writes the entry again as long as the server is registered and does not leave."""
        time.sleep(random.random() * HEARTBEAT_S)
        was_away = False
        while True:
            time.sleep(HEARTBEAT_S)
            if self.store.is_away:
                was_away = True
                continue
            if was_away:
                # Its connection to the store is opened again; it is back within two seconds.
                time.sleep(RECONNECT_S)
                was_away = False
            with self.lock:
                if not (self.is_leaving or self.is_released):
                    self.register()

    def leave(self, says_so):
        """Reports that it drains. Answers say so too if `says_so`."""
        with self.lock:
            self.is_leaving = True
            self.says_leaving = says_so
            self.register("draining")

    def remove_entry(self):
        """Leaves without reporting that it drains: its entry is removed, and it goes on serving."""
        with self.lock:
            self.is_released = True
            self.store.remove("servers", self.name)

    def exit(self):
        """Ends, whatever it is running."""
        self.has_exited = True
        self.store.remove("servers", self.name)
        # Wakes the thread that accepts.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in list(self.sockets):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def finish_loads(self):
        """Makes adapters available whose load has ended. The lock is held."""
        now = time.monotonic()
        for name, (version, ends) in list(self.coming.items()):
            if ends <= now:
                del self.coming[name]
                self.adapters[name] = version

    def work_s(self):
        """Time of one request: half to one and a half times the mean."""
        return self.work_ms * random.uniform(0.5, 1.5) / 1000

    def models(self):
        if self.service != ENGINES:
            return []
        self.finish_loads()
        adapters = [f"{name}@{version}" for name, version in sorted(self.adapters.items())]
        return [{"name": MODEL, "version": 1, "adapters": adapters}]

    def register(self, state="ready"):
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
            "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": self.sequence,
            "born": self.born, "stage": "unified", "models": self.models(),
        }
        self.store.write("servers", self.name, entry)

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        wire = Wire(sock)
        self.sockets.add(sock)
        try:
            while not self.has_exited:
                first, headers = wire.head()
                method, path, _ = first.split(" ", 2)
                body = wire.body(headers)
                self.handle(sock, method, path, headers, body)
        except (Closed, ValueError):
            pass
        finally:
            self.sockets.discard(sock)
            sock.close()

    def reply(self, sock, status, headers, body):
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers.items()]
        if self.is_leaving and self.says_leaving:
            lines.append("Server-Leaving: 1")
        lines.append(f"Content-Length: {len(body)}")
        send(sock, ("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def handle(self, sock, method, path, headers, body):
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            return self.reply(sock, 421, {"X-Not-Executed": "1"}, b"{}")
        if path == "/api/report":
            with self.lock:
                models = self.models()
                coming = [f"{MODEL}/{name}@{version}" for name, (version, _) in sorted(self.coming.items())]
                report = {"stage": "unified", "models": models, "busy": False, "sequence": self.sequence,
                          "born": self.born, "coming": coming, "waiting": 0, "running": sum(self.uses.values()),
                          "kvUsed": 0, "kvTotal": 252945, "handles": 0}
            return self.reply(sock, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        if path == "/api/order":
            return self.reply(sock, self.order(json.loads(body)), {"Content-Type": "application/json"}, b"{}")
        request = headers.get("x-attempt-id", "")
        adapter = headers.get("x-model", "").partition("/")[2]
        until = time.monotonic() + int(headers.get("x-deadline-ms") or 15000) / 1000
        with self.lock:
            self.finish_loads()
            if adapter and (adapter not in self.adapters or adapter in self.unloading):
                return self.reject(sock, 421, request)
            if self.waiting >= QUEUE:
                return self.reject(sock, 503, request)
            self.waiting += 1
            self.uses[adapter] = self.uses.get(adapter, 0) + 1
        try:
            has_place = self.places.acquire(timeout=max(until - time.monotonic(), 0))
            with self.lock:
                self.waiting -= 1
            if not has_place:
                return self.reject(sock, 503, request)
            try:
                self.run(sock, request, headers, until)
            finally:
                self.places.release()
        finally:
            with self.lock:
                self.uses[adapter] -= 1
                if not self.uses[adapter]:
                    del self.uses[adapter]
                    if adapter in self.unloading:
                        self.unloading.discard(adapter)
                        self.adapters.pop(adapter, None)

    def reject(self, sock, status, request):
        self.reply(sock, status, {"X-Not-Executed": "1", "X-Attempt-Id": request}, b"{}")

    def run(self, sock, request, headers, until):
        with self.lock:
            self.runs[request] = self.runs.get(request, 0) + 1
            self.arrivals.append((time.monotonic(), request))
        self.record.write(f"run      {request} at {self.name}")
        if self.trouble and self.trouble(sock, request, headers):
            raise Closed
        if self.service == ENGINES:
            return self.stream(sock, request, int(headers.get("last-event-id") or 0), until)
        time.sleep(self.work_s())
        load = f"{max(self.slots - self.places._value, 0)},{self.waiting},{self.slots}"
        answer = {"X-Attempt-Id": request, "X-Server-Seal": f"seal-{self.name}", "Keep-Alive": "timeout=30",
                  "X-Server-Load": load}
        self.reply(sock, 200, answer, b'{"done":true}')

    def order(self, fields):
        with self.lock:
            if fields["fencingToken"] < self.fence:
                return 412
            self.fence = fields["fencingToken"]
            if "precondition" in fields and fields["precondition"] != self.sequence:
                return 409
            self.finish_loads()
            adapter = fields.get("adapter")
            if not adapter:
                return 200
            self.sequence += 1
            if fields["op"] == "unload":
                if adapter in self.uses:
                    self.unloading.add(adapter)
                    return 202
                self.adapters.pop(adapter, None)
                return 200
            self.coming[adapter] = (fields.get("version") or 1, time.monotonic() + ADAPTER_LOAD_S)
            if len(self.adapters) + len(self.coming) > ADAPTER_SLOTS:
                self.record.write(f"too many adapters at {self.name}")
            return 202

    def stream(self, sock, request, after, until):
        head = ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                f"X-Attempt-Id: {request}\r\nX-Server-Seal: seal-{self.name}\r\n\r\n")
        time.sleep(0.05)
        send(sock, head.encode())
        for number in range(after + 1, self.events + 1):
            if time.monotonic() > until:
                # It stops work at the deadline that it was given.
                raise Closed
            event = f"id: {number}\ndata: piece {number} of {self.version}\n\n".encode()
            send(sock, b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.event_ms / 1000)
        send(sock, b"0\r\n\r\n")


# --- instances ---------------------------------------------------------------------------------------

SETTINGS = """nodeName = "{name}"
role = "instance"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "cymru"
internalPorts = [{peer},{peer}]
seeds = []
bootstrap = {bootstrap}
faultCounted = false
discovery = "platform"
entry = "anycast"
heartbeatMs = 1200
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = {memory_mb}
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
fencingRequired = true
leaseMs = 3000
thawMs = 300
version_ms = 5000
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Instance:
    """A machine with one process. The platform ends a process that exceeds the memory of its machine and
    starts each process that has ended again after a short delay."""

    RESTART_DELAY_S = 0.5

    def __init__(self, record, folder, name, zone, store_address, memory_mb=260):
        self.record, self.name, self.memory_mb = record, name, memory_mb
        self.front, self.ready, self.peer, self.metrics = (free_port() for _ in range(4))
        self.settings = os.path.join(folder, f"{name}.toml")
        self.values = {
            "name": name, "zone": zone, "front": self.front, "ready": self.ready, "peer": self.peer,
            "store": store_address, "memory_mb": memory_mb,
        }
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.is_stopped = False
        # Held while a process is started or the instance is stopped.
        self.lock = threading.Lock()
        self.peak_mb = 0.0
        self.over_memory = 0
        self.start(bootstrap="true")
        threading.Thread(target=self.watch, daemon=True).start()

    def start(self, bootstrap):
        with self.lock:
            if not self.is_stopped:
                self.start_process(bootstrap)

    def start_process(self, bootstrap):
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(bootstrap=bootstrap, **self.values))
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "MIMOSABAY_BOOT": self.settings}
        command = [PROGRAM, "--metrics-port", str(self.metrics)]
        self.process = subprocess.Popen(command, env=environment, cwd=REPOSITORY, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)

    def memory(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20
        except (OSError, IndexError):
            return 0.0

    def watch(self):
        while not self.is_stopped:
            used_mb = self.memory()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb:
                self.over_memory += 1
                self.record.write(f"platform {self.name} uses {used_mb:.0f} MB of {self.memory_mb}: killed")
                self.process.kill()
            if self.process.poll() is not None and not self.is_stopped:
                self.record.write(f"platform process of {self.name} has ended: {self.process.returncode}")
                time.sleep(self.RESTART_DELAY_S)
                self.start(bootstrap="false")
            time.sleep(0.01)

    def kill(self):
        """Ends the process at once; the platform starts another one."""
        self.process.kill()

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.ready), 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in sock.recv(200)
        except OSError:
            return False

    def stop(self):
        with self.lock:
            self.is_stopped = True
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            self.log.close()


def configuration(version=1, routes=()):
    def route(name, prefix, kind, service, timeout_ms, target_ms, **more):
        entry = {"name": name, "host": HOST, "pathPrefix": prefix, "routeKind": kind, "service": service,
                 "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 1, "maxAttempts": 1,
                 "public": False, "resumable": False}
        return {**entry, **more}

    return {
        "version": version,
        "routes": [
            route("summary", "/summary/", "streaming", ENGINES, 5000, 1000, gapAimMs=400, sticky=True),
            route("brief", "/brief/", "streaming", ENGINES, 12000, 1000, gapAimMs=400, sticky=True, resumable=True,
                  maxAttempts=2),
            route("transfer", "/transfer/", "non_idempotent", DESK, 1200, 150),
            route("lookup", "/lookup/", "idempotent", DESK, 1200, 150, maxAttempts=2),
            *routes,
        ],
        "services": [
            {"name": ENGINES, "healthPath": "/healthz", "maxConns": 360, "engine": {
                "slots": 64, "kvCapacity": 252945, "adapterSlots": 9, "loadsPerS": 4.2, "weightsMb": 66500,
                "models": [{"name": MODEL, "weightsMb": 65100, "loadS": 2.5, "adapters": 3000, "adapterMb": 12}],
            }},
            {"name": DESK, "healthPath": "/healthz", "maxConns": 100},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "unit": "token_based", "plainTokens": 200,
                     "ratePerS": 1000000, "burst": 1000000}],
    }


class Site:
    """Store, servers and instances. Leaving the context ends all processes."""

    ZONES = ["aber-a", "aber-b", "aber-c", "aber-d"]

    def __init__(self, folder, instances=3, engines=3, desks=3, work_ms=30, new_engines=0, held=None):
        """`engines` are of version v1 and hold the adapters `held`; `new_engines` are of v2, beside them."""
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.mkdtemp(prefix="mimosabay-review-")
        self.store = Store()
        self.store.write("config", "main", configuration())
        zones = self.ZONES
        self.engines = [Server(self.store, self.record, f"engine-{n}", ENGINES, zones[n % 4], 64, adapters=held)
                        for n in range(engines)]
        for n in range(new_engines):
            self.add_engine(f"engine-new-{n}", "v2")
        self.desks = [Server(self.store, self.record, f"desk-{n}", DESK, zones[n % 4], 6, work_ms)
                      for n in range(desks)]
        self.instances = []
        try:
            for n in range(instances):
                instance = Instance(self.record, self.temporary, f"edge-{n}", zones[n % 4], self.store.address)
                self.instances.append(instance)
        except BaseException:
            self.__exit__()
            raise

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for instance in self.instances:
            instance.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.temporary, ignore_errors=True)

    def add_engine(self, name, version):
        """Starts an engine that registers itself."""
        zone = self.ZONES[len(self.engines) % 4]
        engine = Server(self.store, self.record, name, ENGINES, zone, 64, version=version)
        self.engines.append(engine)
        return engine

    def wait_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            is_placed = ("placers", "cell-0") in self.store.objects
            if is_placed and all(instance.is_ready() for instance in self.instances):
                return True
            time.sleep(0.1)
        return False


# --- callers -----------------------------------------------------------------------------------------


class Caller:
    """A caller that keeps its connection to one instance for many requests."""

    def __init__(self, record, instance):
        self.record, self.instance = record, instance
        self.sock = self.wire = None
        self.used = 0

    def close(self):
        if self.sock:
            self.sock.close()
        self.sock = self.wire = None
        self.used = 0

    def request(self, method, path, headers=(), body=b"", limit_s=5.0):
        """Sends a request and reads its answer. Returns (id, how): how is the status, 'closed' if the
        connection ended without a complete answer, 'refused' if none could be opened, or 'left'. The third
        value tells whether the connection had been used before."""
        request = "%016x" % random.getrandbits(64)
        try:
            if not self.sock:
                self.sock = socket.create_connection(("127.0.0.1", self.instance.front), 1)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.wire = Wire(self.sock)
                self.used = 0
        except OSError:
            self.sock = None
            return request, "refused", False
        is_kept = self.used > 0
        self.used += 1
        self.sock.settimeout(limit_s)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {request}",
                 f"X-Deadline-Ms: {int(limit_s * 1000)}", f"Authorization: Bearer {KEY}",
                 f"Content-Length: {len(body)}", *headers]
        self.record.write(f"sent     {request} {method} {path} to {self.instance.name}")
        started = time.monotonic()
        try:
            send(self.sock, ("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            status_line, answer = self.wire.head()
            self.wire.body(answer)
            how = status_line.split(" ")[1]
            if answer.get("connection", "").lower() == "close":
                self.close()
        except Closed:
            how = "left" if time.monotonic() - started >= limit_s else "closed"
            self.close()
        self.record.write(f"answered {request} {how}{' (kept connection)' if is_kept else ''}")
        return request, how, is_kept


class StreamCaller:
    """A caller of one stream. It takes the stream up once, at another instance, after a broken connection."""

    DEADLINE_S = 12.0

    def __init__(self, record, instances, number, retry_after_s, adapter="a1"):
        self.record, self.instances, self.number, self.retry_after_s = record, instances, number, retry_after_s
        self.adapter = adapter
        self.pieces = []
        self.tries = []

    def run(self):
        until = time.monotonic() + self.DEADLINE_S
        headers = summary_headers(self.adapter, 800)
        first, how = self.attempt(self.instances[self.number % len(self.instances)], headers, until)
        if how == "closed" and self.pieces:
            time.sleep(self.retry_after_s)
            again = [f"Resumes: {first}", f"Last-Event-Id: {self.pieces[-1][0]}"]
            other = self.instances[(self.number + 1) % len(self.instances)]
            self.attempt(other, headers + again, until)

    def attempt(self, instance, headers, until):
        request = "%016x" % random.getrandbits(64)
        left_s = max(until - time.monotonic(), 0.1)
        lines = ["POST /brief/x HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {request}",
                 f"X-Deadline-Ms: {int(left_s * 1000)}", f"Authorization: Bearer {KEY}", "Content-Length: 4",
                 *headers]
        self.record.write(f"sent     {request} brief {self.number} to {instance.name} {headers[3:]}")
        before = len(self.pieces)
        try:
            sock = socket.create_connection(("127.0.0.1", instance.front), 1)
        except OSError:
            how = "refused"
        else:
            sock.settimeout(left_s)
            how = self.read(sock, lines)
            sock.close()
        got = [f"{number} of {version}" for number, version in self.pieces[before:]]
        self.record.write(f"answered {request} brief {self.number} {how}: {', '.join(got)}")
        self.tries.append(how)
        return request, how

    def read(self, sock, lines):
        wire = Wire(sock)
        try:
            send(sock, ("\r\n".join(lines) + "\r\n\r\n").encode() + b"text")
            status = (head := wire.head())[0].split(" ")[1]
            if status != "200":
                wire.body(head[1])
                return status
            text = b""
            while size := int(wire.line().split(b";")[0], 16):
                text += wire.exactly(size)
                wire.exactly(2)
                while b"\n\n" in text:
                    event, text = text.split(b"\n\n", 1)
                    words = event.decode().split()
                    self.pieces.append((int(words[1]), words[-1]))
            return status
        except Closed:
            return "closed"


def summary_headers(adapter="a1", prompt=9190, answer=52):
    part = "%x:2520,%x:3780,%x:2890" % (1, 2, random.getrandbits(40))
    return [f"X-Model: {MODEL}/{adapter}", f"X-Token-Count: {prompt},{answer}", f"X-Prompt-Prefix: {part}"]


def run(main):
    """Runs a case and exits with its result: 2 if it could not run. All processes have ended by then."""
    failures = []

    def on_thread_failure(failure):
        if not failure.thread.daemon:
            failures.append(failure.exc_value)
            traceback.print_exception(failure.exc_value)

    def on_signal(*_):
        raise KeyboardInterrupt

    threading.excepthook = on_thread_failure
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        signal.signal(number, on_signal)
    try:
        code = main()
    except BaseException:
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    # Threads of callers may still wait for answers that do not come.
    os._exit(2 if failures else code)
