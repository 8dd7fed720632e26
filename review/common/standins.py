"""Stand-ins of the platform's store, backend servers and clients, and a launcher of
gateways, for the cases in review/. Everything listens on loopback addresses."""
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


ALLOTTED = set()


def free_port():
    """Returns a port below the range from which the kernel takes those of clients."""
    while True:
        port = random.randrange(20000, 32000)
        if port in ALLOTTED:
            continue
        try:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((LOOPBACK, port))
                udp.bind((LOOPBACK, port))
        except OSError:
            continue
        ALLOTTED.add(port)
        return port


class Connection:
    """One HTTP/1.1 connection with a read buffer."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("the peer closed the connection")
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        text, self.buffer = self.buffer.split(b"\r\n", 1)
        return text.decode("latin-1")

    def take(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        """Returns the first line and the header fields with names in lower case."""
        first = self.line()
        fields = {}
        while True:
            text = self.line()
            if not text:
                return first, fields
            name, _, value = text.partition(":")
            fields[name.strip().lower()] = value.strip()

    def chunked_body(self):
        body = b""
        while True:
            size = int(self.line().split(";")[0], 16)
            body += self.take(size)
            self.line()
            if size == 0:
                return body

    def body(self, fields, until_close=False):
        if "chunked" in fields.get("transfer-encoding", ""):
            return self.chunked_body()
        if "content-length" in fields:
            return self.take(int(fields["content-length"]))
        if until_close:
            data = b""
            try:
                while True:
                    self.fill()
            except ConnectionError:
                data, self.buffer = self.buffer, b""
            return data
        return b""

    def close(self):
        try:
            self.sock.close()
        except OSError:
            pass


class Server:
    """Accepts connections and serves each on a thread."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((LOOPBACK, 0))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        self.address = f"{LOOPBACK}:{self.port}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.run, args=(sock,), daemon=True).start()

    def run(self, sock):
        link = Connection(sock)
        try:
            self.serve(link)
        except (OSError, ConnectionError, ValueError):
            pass
        link.close()

    def serve(self, link):
        raise NotImplementedError


def send_json(link, status, answer):
    data = json.dumps(answer).encode()
    link.sock.sendall(
        f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n".encode() + data)


class Store(Server):
    """The platform's metadata store: rows, transactions and the feed of changes."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (version, base64 value or None)
        self.version = 0
        self.changed = threading.Condition()
        super().__init__()

    def put(self, table, key, value):
        """Writes a row as the operator or a backend server; returns its version."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (self.version, text)
            self.changed.notify_all()
            self.record.line(f"store: {table}/{key} written, acknowledged, ver {self.version}")
            return self.version

    def remove(self, table, key):
        with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (self.version, None)
            self.changed.notify_all()
            self.record.line(f"store: {table}/{key} removed, ver {self.version}")

    def serve(self, link):
        while True:
            first, fields = link.head()
            body = link.body(fields)
            _, target, _ = first.split(" ")
            send_json(link, *self.answer(target, body))

    def answer(self, target, body):
        parts = urlsplit(target)
        query = {name: it[0] for name, it in parse_qs(parts.query).items()}
        if parts.path == "/v1/rows-tx":
            return self.transact(json.loads(body))
        if parts.path == "/v1/rows-get":
            return 200, self.read(query)
        if parts.path == "/v1/rows-feed":
            return 200, self.feed(query)
        return 404, {}

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def transact(self, body):
        with self.changed:
            for it in body.get("expected", []):
                row = self.rows.get((it["table"], it.get("part", ""), it["key"]), (0, None))
                if (row[0] if row[1] is not None else 0) != it["ver"]:
                    return 412, {"rows": [], "ver": self.version, "now-ms": self.now_ms()}
            self.version += 1
            for it in body.get("writes", []):
                key = (it["table"], it.get("part", ""), it["key"])
                self.rows[key] = (self.version, it["value"])
            for it in body.get("remove", []):
                key = (it["table"], it.get("part", ""), it["key"])
                self.rows[key] = (self.version, None)
            self.changed.notify_all()
            return 200, {"ver": self.version, "now-ms": self.now_ms()}

    def read(self, query):
        with self.changed:
            rows = [{"table": key[0], "part": key[1], "key": key[2], "value": row[1],
                     "ver": row[0]}
                    for key, row in sorted(self.rows.items())
                    if key[0] == query["table"] and row[1] is not None
                    and key[2] >= query.get("from", "")]
            return {"rows": rows, "has-more": False, "ver": self.version,
                    "now-ms": self.now_ms()}

    def feed(self, query):
        since = int(query["since-rev"])
        until = time.monotonic() + min(int(query["wait-ms"]), 30000) / 1000

        def changes():
            return sorted(((row[0], key, row[1]) for key, row in self.rows.items()
                           if key[0] == query["table"] and row[0] > since),
                          key=lambda it: it[0])

        with self.changed:
            while not changes() and time.monotonic() < until:
                self.changed.wait(max(0.0, until - time.monotonic()))
            rows = []
            for version, key, value in changes():
                row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
                if value is None:
                    row["deleted"] = True
                else:
                    row["value"] = value
                rows.append(row)
            return {"rows": rows, "ver": self.version, "now-ms": self.now_ms()}


class StorePath(Server):
    """The path of one machine to the store.

    While `silent` is set, calls are carried out and get no answer. A channel on which an
    answer was lost delivers nothing further, but stays open; new channels work.
    """

    def __init__(self, record, store, name):
        self.record = record
        self.store = store
        self.name = name
        self.silent = False
        self.waits = 0  # calls that wait for changes of the config
        super().__init__()

    def serve(self, link):
        while True:
            first, fields = link.head()
            body = link.body(fields)
            _, target, _ = first.split(" ")
            self.waits += "rows-feed?table=op" in target
            status, answer = self.store.answer(target, body)
            if self.silent:
                self.record.line(f"store: no answer to {self.name}: {target.split('&wait')[0]}")
                while True:
                    link.fill()
            send_json(link, status, answer)


class Worker(Server):
    """A plain backend server. Checks the instance, runs the request and answers.

    `work` is called with the worker and the request and returns status and body; a
    subclass or a case replaces it.
    """

    def __init__(self, record, identity, service, zone, work_s=0.015):
        self.record = record
        self.identity = identity
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.runs = []  # (time, request id, method, target, header fields, body)
        self.lock = threading.Lock()
        super().__init__()

    def entry(self, state="ready", slots=6):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": slots, "state": state, "cold-remaining-ms": 0,
                "sequence": 1, "born": 1_700_000_000_000}

    def serve(self, link):
        while True:
            first, fields = link.head()
            method, target, _ = first.split(" ")
            body = link.body(fields)
            if fields.get("expect-instance", self.identity) != self.identity:
                link.sock.sendall(b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                                  + self.identity.encode() + b"\r\nContent-Length: 0\r\n\r\n")
                continue
            if "request-id" not in fields:
                link.sock.sendall(b"HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\n"
                                  b"Content-Length: 0\r\n\r\n")
                continue
            with self.lock:
                self.runs.append((time.monotonic(), fields["request-id"], method, target,
                                  fields, body))
            self.record.line(f"worker {self.identity} ({self.service}): runs {method} {target} "
                             f"id {fields['request-id']} body {len(body)} B "
                             f"tenant {fields.get('tenant', '-')}")
            status, answer = self.work(method, target, fields, body)
            link.sock.sendall(
                f"HTTP/1.1 {status} x\r\nRequest-Id: {fields['request-id']}\r\n"
                f"Response-Stamp: {self.identity}.{len(self.runs)}\r\n"
                f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)

    def work(self, method, target, fields, body):
        time.sleep(self.work_s)
        return 200, b"x" * 800

    def count(self, request_id):
        with self.lock:
            return sum(1 for it in self.runs if it[1] == request_id)


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, folder, name, zone, store, limits=None):
        self.name = name
        self.zone = zone
        self.store = store.address
        self.limits = limits or {}
        self.path = Path(folder) / f"{name}.json"
        self.log = open(Path(folder) / f"{name}.log", "ab")
        self.process = None
        self.was_ready = False
        self.configure()
        self.start()

    def configure(self):
        """Writes the settings file, with ports that are free."""
        self.port = free_port()
        self.readiness = free_port()
        settings = {
            "role": "gateway", "vm": self.name, "zone": self.zone, "region": "mu-west",
            "listen": f"{LOOPBACK}:{self.port}",
            "readiness": f"{LOOPBACK}:{self.readiness}",
            "metrics": f"{LOOPBACK}:{free_port()}", "peers": f"{LOOPBACK}:{free_port()}",
            "store": self.store,
            "limits": {"cores": 0.19, "memory_mb": 260, "repeat_ratio": 0.2,
                       "repeat_slack": 100, "repeat_window_ms": 10000,
                       "stop_grace_ms": 8000, **self.limits}}
        self.path.write_text(json.dumps(settings), encoding="utf-8")

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["PISTACHIOPOST_BOOT"] = str(self.path)
        environment["MALLOC_ARENA_MAX"] = "2"  # the platform sets it, too
        # The word of `run` in deploy/system.toml for the role gateway.
        self.process = subprocess.Popen(
            ["target/source/pistachiopost", "gateway"], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)

    def ready(self):
        try:
            status, _, _ = request(self.readiness, "GET", "/v1/ready", {}, timeout=1)
            return status == 200
        except (OSError, ConnectionError, ValueError):
            return False

    def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if not self.was_ready and self.process.poll() is not None:
                # Another process took one of the ports.
                self.configure()
                self.start()
            if self.ready():
                self.was_ready = True
                return True
            time.sleep(0.05)
        return False

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def request(port, method, target, fields, body=b"", timeout=10, sock=None):
    """Sends one request, on a new connection unless `sock` is given. Returns status,
    header fields and body."""
    own = sock is None
    if own:
        sock = socket.create_connection((LOOPBACK, port), timeout=timeout)
    try:
        sock.settimeout(timeout)
        text = f"{method} {target} HTTP/1.1\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        if method != "GET":
            text += f"Content-Length: {len(body)}\r\n"
        sock.sendall(text.encode() + b"\r\n" + body)
        link = Connection(sock)
        first, answer = link.head()
        return int(first.split(" ")[1]), answer, link.body(answer)
    finally:
        if own:
            sock.close()


def service(name, max_connections=96):
    return {"name": name, "health-path": "/health", "max-connections": max_connections,
            "protocol": "h1", "tls": False}


def route(name, prefix, kind, to, timeout_ms=1500, target_ms=100, attempts=1, **more):
    return {"name": name, "host": "desk.example", "prefix": prefix, "kind": kind,
            "timeout-ms": timeout_ms, "target-latency-ms": target_ms, "priority": 2,
            "service": to, "max-attempts": attempts, "public": False, "sticky": False,
            **more}


def config(version, routes, services, tenants):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": name, "api-keys": keys, "priority": 1}
                        for name, keys in tenants.items()]}


class Case:
    """Runs a case: temporary folder, time limit, end of all processes, exit code."""

    def __init__(self, folder, limit_s=110):
        self.folder = Path(folder)
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.gateways = []
        self.processes = []
        self.limit_s = limit_s

    def gateway(self, name, zone, store, limits=None):
        it = Gateway(self.temporary, name, zone, store, limits)
        self.gateways.append(it)
        return it

    def run(self, body):
        """Calls `body`, which returns the number of broken rules or raises."""
        def expire(_signal, _frame):
            raise TimeoutError("the case took too long")

        signal.signal(signal.SIGALRM, expire)
        signal.alarm(self.limit_s)
        code = 2
        try:
            broken = body(self)
            code = 1 if broken else 0
        except Exception as ex:  # reported as: the case could not run
            self.record.line(f"the case could not run: {type(ex).__name__}: {ex}")
        finally:
            signal.alarm(0)
            for it in self.gateways:
                it.stop()
            for it in self.processes:
                if it.poll() is None:
                    it.kill()
                    it.wait()
            shutil.rmtree(self.temporary, ignore_errors=True)
            self.record.line(f"exit code {code}")
        os._exit(code)
