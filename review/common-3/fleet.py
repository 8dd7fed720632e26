"""Stand-ins for the cases 11 to 15: the platform's store, workers and clients.

The gateways are the project's own program, started with the command of the deploy
file as separate processes. Everything listens on loopback addresses of its own.
"""
import base64
import json
import os
import random
import resource
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = [os.path.join(ROOT, "target", "source", "pistachiopost"), "gateway"]

# Bounds of the small site orn-lens.
BOUNDS = {"drain_ms": 2000, "grace_s": 8, "stable_window_ms": 3000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 100}
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be set up."""


class Failure(Exception):
    """A worker has run a request and fails it with this status."""

    def __init__(self, status):
        super().__init__(status)
        self.status = status


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        with self.lock:
            self.lines.append(f"{self.now():8.3f} {text}")

    def say(self, text):
        self.add(text)
        print(text, flush=True)

    def write(self):
        with self.lock, open(self.path, "w", encoding="utf-8") as out:
            out.write("\n".join(self.lines) + "\n")


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.body = method, target, body
        self.headers = headers  # names in lower case

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


def read_head(stream):
    """Returns the start line and the headers; None at the end of the stream."""
    start = stream.readline(65536)
    if not start:
        return None
    headers = {}
    while True:
        line = stream.readline(65536)
        if line in (b"\r\n", b"\n", b""):
            return start.decode("latin-1").strip(), headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_request(stream):
    head = read_head(stream)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    length = int(head[1].get("content-length", "0"))
    body = stream.read(length) if length else b""
    if len(body) < length:
        return None
    return Request(method, target, head[1], body)


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def encode_response(status, headers, body):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, serve):
        handler = type("Handler", (socketserver.BaseRequestHandler,),
                       {"handle": lambda it: serve(it.request)})
        super().__init__((address, 0), handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address):
        pass  # a peer that leaves early is no error here

    @property
    def address(self):
        return "%s:%d" % self.server_address


def reset(sock):
    """Closes a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


class Store:
    """The platform's store: tables of rows that are read, written and followed."""

    def __init__(self, address):
        self.changed = threading.Condition()
        self.version = 1
        self.rows = {}  # (table, key) -> (version, value or None)
        self.server = Server(address, self.serve)
        self.address = self.server.address

    def put(self, table, key, value):
        """Writes a row for the operator, a worker or another writer; returns at its ack."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.version += 1
            self.rows[table, key] = (self.version, base64.b64encode(raw).decode())
            self.changed.notify_all()

    def remove(self, table, key):
        with self.changed:
            self.version += 1
            self.rows[table, key] = (self.version, None)
            self.changed.notify_all()

    def list(self, table, since=0, deleted=False):
        found = []
        for (name, key), (version, value) in self.rows.items():
            if name == table and version > since and (value is not None or deleted):
                row = {"table": table, "part": "", "key": key, "ver": version}
                row.update({"deleted": True} if value is None else {"value": value})
                found.append(row)
        return found

    def serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = sock.makefile("rb")
        while True:
            request = read_request(stream)
            if request is None:
                return
            time.sleep(0.004)
            status, body = self.answer(request)
            sock.sendall(encode_response(status, [("Content-Type", "application/json"),
                                                  ("Store-Era", "1")],
                                         json.dumps(body).encode()))

    def answer(self, request):
        path, _, query = request.target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/rows-get":
            with self.changed:
                rows = sorted(self.list(args["table"]), key=lambda it: it["key"])
                return 200, self.state(rows, **{"has-more": False})
        if path == "/v1/rows-feed":
            since = int(args["since-rev"])
            until = time.monotonic() + int(args.get("wait-ms", "0")) / 1000
            with self.changed:
                while True:
                    rows = self.list(args["table"], since, True)
                    left = until - time.monotonic()
                    if rows or left <= 0:
                        return 200, self.state(sorted(rows, key=lambda it: it["ver"]))
                    self.changed.wait(left)
        if path == "/v1/rows-tx":
            return self.commit(json.loads(request.body))
        return 404, {}

    def commit(self, call):
        rows = call.get("writes", []) + call.get("remove", [])
        if any(it["table"] in ("op", "servers") for it in rows):
            return 403, {}
        with self.changed:
            for it in call.get("expected", []):
                known = self.rows.get((it["table"], it["key"]), (0, None))
                if it["ver"] != (known[0] if known[1] is not None else 0):
                    return 412, self.state(self.list(it["table"]))
            self.version += 1
            for it in call.get("writes", []):
                self.rows[it["table"], it["key"]] = (self.version, it["value"])
            for it in call.get("remove", []):
                self.rows[it["table"], it["key"]] = (self.version, None)
            self.changed.notify_all()
            return 200, self.state([])

    def state(self, rows, **more):
        return {"rows": rows, "ver": self.version,
                "now-ms": int(time.monotonic() * 1000), **more}


class Worker:
    """A worker of a plain service. `run` is called for each request that begins to run;
    it returns the body of the answer (None if the worker crashes), or raises Failure."""

    def __init__(self, address, store, name, service, zone, slots=6, work_s=0.015):
        self.name, self.service, self.zone = name, service, zone
        self.store, self.slots, self.work_s = store, slots, work_s
        self.state, self.leaving, self.sequence = "ready", False, 0
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.running = 0
        self.open = set()
        self.down = False
        self.beating = threading.Event()
        self.observe = lambda worker, request: None  # called when a request arrives
        self.run = lambda worker, request, sock: b"done by " + worker.name.encode()
        self.server = Server(address, self.serve)
        self.address = self.server.address

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold-remaining-ms": 0, "sequence": self.sequence, "born": self.born}

    def write_entry(self):
        self.sequence += 1
        self.store.put("servers", self.name, self.entry())

    def start(self):
        """Registers the worker and writes its entry at each heartbeat."""
        stop = self.beating = threading.Event()
        self.write_entry()

        def beat():
            while not stop.wait(HEARTBEAT_S):
                self.write_entry()
        threading.Thread(target=beat, daemon=True).start()

    def stop_beating(self):
        self.beating.set()

    def crash(self):
        """Loses all connections and what runs; new connections are reset until
        come_back()."""
        self.down = True
        with self.lock:
            connections, self.open = self.open, set()
        for sock in connections:
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                b"\1\0\0\0\0\0\0\0")
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def come_back(self):
        """Starts a new lifetime under the same id."""
        self.born, self.sequence, self.down = int(time.time() * 1000), 0, False
        self.write_entry()

    def serve(self, sock):
        if self.down:
            reset(sock)
            return
        with self.lock:
            self.open.add(sock)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = sock.makefile("rb")
            while not self.down:
                request = read_request(stream)
                if request is None or not self.answer(sock, request):
                    break
        except OSError:
            pass
        finally:
            with self.lock:
                self.open.discard(sock)
            if self.down:
                reset(sock)

    def answer(self, sock, request):
        common = [("Request-Id", request.get("Request-Id"))]
        if self.leaving:
            common.append(("Server-Leaving", "1"))
        expected = request.get("Expect-Instance")
        if expected and expected != self.name:
            sock.sendall(encode_response(421, [("Instance-Id", self.name)], b""))
            return True
        self.observe(self, request)
        with self.lock:
            admitted = self.running < self.slots
            self.running += 1 if admitted else 0
        if not admitted:
            sock.sendall(encode_response(503, common + [("Not-Run", "1")], b""))
            return True
        status = 200
        try:
            body = self.run(self, request, sock)
            time.sleep(self.work_s)
        except Failure as ex:
            status, body = ex.status, b"failed"
        finally:
            with self.lock:
                self.running -= 1
        if self.down or body is None:
            return False
        stamp = "%s.%016x" % (self.name, random.getrandbits(64))
        sock.sendall(encode_response(status, common + [("Response-Stamp", stamp)], body))
        return True


class Gateway:
    """A gateway process with settings as the template of the deploy file makes them."""

    def __init__(self, fleet, name, zone, address):
        self.fleet, self.name, self.zone, self.address = fleet, name, zone, address
        self.process = None
        self.settings = os.path.join(fleet.work, name + ".json")
        limits = {"cores": 0.19, "memory_mb": 260,
                  "repeat_ratio": BOUNDS["retry_budget_ratio"],
                  "repeat_slack": BOUNDS["retry_slack"],
                  "repeat_window_ms": BOUNDS["budget_window_s"] * 1000,
                  "stop_grace_ms": BOUNDS["grace_s"] * 1000}
        with open(self.settings, "w", encoding="utf-8") as out:
            json.dump({"role": "gateway", "vm": name, "zone": zone, "region": "mu-west",
                       "zones": {it: "mu-west" for it in fleet.zones},
                       "listen": address + ":8227", "readiness": address + ":8220",
                       "metrics": address + ":9464", "peers": address + ":7340",
                       "store": fleet.store.address, "limits": limits}, out)

    def start(self):
        env = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        env["PISTACHIOPOST_BOOT"] = self.settings
        with self.fleet.starting:
            if self.fleet.closed:
                return  # nothing may be started behind the end of the case
            with open(os.path.join(self.fleet.work, self.name + ".log"), "ab") as log:
                self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=env, stdout=log,
                                                stderr=log, stdin=subprocess.DEVNULL)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def is_ready(self):
        try:
            return call((self.address, 8220), "GET", "/v1/ready", [], b"", 1).status == 200
        except OSError:
            return False


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


def call(address, method, path, headers, body, timeout):
    """Sends one request on a new connection. Raises OSError if there is no answer."""
    with socket.create_connection(address, 1) as sock:
        sock.settimeout(timeout)
        lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        stream = sock.makefile("rb")
        head = read_head(stream)
        if head is None:
            raise OSError("the channel was closed without an answer")
        length = int(head[1].get("content-length", "0"))
        content = stream.read(length)
        if len(content) < length:
            raise OSError("the answer ended early")
        return Answer(int(head[0].split(" ")[1]), head[1], content)


class Fleet:
    """A small deployment: a store, three gateways in three zones, and workers."""

    zones = ["tamarin", "flicq", "reduit"]

    def __init__(self, folder):
        if not os.path.exists(PROGRAM[0]):
            raise CannotRun("the build of the deploy file is missing")
        self.record = Record(folder)
        self.starting, self.closed = threading.Lock(), False
        self.work = tempfile.mkdtemp(prefix="pistachiopost-case-")
        self.prefix = self.free_prefix()
        self.store = Store(self.prefix + ".2")
        self.gateways = [Gateway(self, f"front-{zone}-1", zone, f"{self.prefix}.{10 + i}")
                         for i, zone in enumerate(self.zones)]
        self.workers = []

    @staticmethod
    def free_prefix():
        for _ in range(50):
            prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for host in (10, 11, 12):
                    for port in (8227, 8220, 9464, 7340):
                        with socket.socket() as sock:
                            sock.bind((f"{prefix}.{host}", port))
                return prefix
            except OSError:
                continue
        raise CannotRun("no free addresses")

    def add_worker(self, name, service, zone, **options):
        it = Worker(f"{self.prefix}.{100 + len(self.workers)}", self.store, name, service,
                    zone, **options)
        self.workers.append(it)
        it.start()
        return it

    def configure(self, routes, services, version=1):
        self.store.put("op", "config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "hule930", "api-keys": ["n2ctnfzs989anu6wsjnb"],
                         "priority": 1}]})

    def start_gateways(self):
        for it in self.gateways:
            it.start()
        self.wait_ready()

    def wait_ready(self):
        until = time.monotonic() + 20
        for it in self.gateways:
            while not it.is_ready():
                if time.monotonic() > until:
                    raise CannotRun("a gateway did not become ready")
                time.sleep(0.05)

    def send(self, gateway, method, path, body=b"", deadline_ms=1500, request_id=None,
             key="n2ctnfzs989anu6wsjnb"):
        """Sends one client attempt. Returns its id and answer (None if there is none)."""
        request_id = request_id or "%016x" % random.getrandbits(64)
        headers = [("Host", "ficu95.example"), ("Request-Id", request_id),
                   ("Deadline-Ms", str(deadline_ms)),
                   ("Api-Key", key)]
        try:
            answer = call((gateway.address, 8227), method, path, headers, body,
                          deadline_ms / 1000 + 1)
        except OSError:
            answer = None
        return request_id, answer

    def close(self):
        with self.starting:
            self.closed = True
        for it in self.gateways:
            if it.process is not None and it.process.poll() is None:
                it.kill()
        for it in self.workers:
            it.stop_beating()
        for it in os.listdir(self.work):
            os.unlink(os.path.join(self.work, it))
        os.rmdir(self.work)


def allow_descriptors():
    """Gives this process and those that it starts the descriptors of a front machine
    (`max-fds`), where the default of the shell is lower."""
    wanted = 4200
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        if hard != resource.RLIM_INFINITY and hard < wanted:
            raise CannotRun(f"a process may open {hard} descriptors only")
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def stop_early(number, _):
    raise CannotRun(f"stopped by signal {number}")


def run_case(folder, play):
    """Runs `play(fleet, trouble)`, which returns whether the rule was broken. Exits with
    1 if so, 0 if not and 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    longest_s = 115  # a case may run for 120 s
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, stop_early)
    signal.alarm(longest_s)
    fleet = None
    try:
        allow_descriptors()
        fleet = Fleet(folder)
        code = 1 if play(fleet, trouble) else 0
    except BaseException as ex:  # pylint: disable=broad-except
        print("cannot run:", type(ex).__name__, ex)
        code = 2
    finally:
        signal.alarm(0)
        if fleet is not None:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for it in fleet.gateways:
                    log = os.path.join(fleet.work, it.name + ".log")
                    if os.path.exists(log):
                        with open(log, "rb") as src, \
                                open(os.path.join(keep, it.name + ".log"), "wb") as dst:
                            dst.write(src.read())
            fleet.close()
            fleet.record.write()
    sys.stdout.flush()
    os._exit(code)
