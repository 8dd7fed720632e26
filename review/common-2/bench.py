"""Stand-ins of the store, of backend servers and of clients, and a driver of gateway
processes, for the scripts of this review. Python 3, standard library only. All
addresses are loopback addresses."""
import base64
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} s  {text}\n")
            self.file.flush()


class Store:
    """The platform's store: tables of rows with one version counter, and a feed of the
    changes to a table in all its parts."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value as base64 or None if removed, version)
        self.version = 1
        self.changed = threading.Condition()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query))
                if url.path == "/v1/rows-get":
                    self.reply(200, store.get(query["table"], query.get("part", ""),
                                              query.get("from", "")))
                elif url.path == "/v1/rows-feed":
                    self.reply(200, store.feed(query["table"], int(query["since-rev"]),
                                               int(query.get("wait-ms", 0)) / 1000))
                else:
                    self.reply(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                for it in body["writes"]:
                    store.put(it["table"], it["key"], it["value"], it["part"])
                self.reply(200, {"ver": store.version, "now-ms": store.now_ms()})

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True

            def handle_error(self, request, client_address):
                pass  # a client that closed its connection

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def put(self, table, key, value, part=""):
        with self.changed:
            self.version += 1
            self.rows[(table, part, key)] = (value, self.version)
            self.changed.notify_all()

    def write(self, table, key, document, part=""):
        text = json.dumps(document).encode()
        self.put(table, key, base64.b64encode(text).decode(), part)

    def remove(self, table, key):
        self.put(table, key, None)

    def beat(self, key, document):
        """A server reports itself: its entry changes if more than `sequence` differs."""
        with self.changed:
            value, _ = self.rows.get(("servers", "", key), (None, 0))
        try:
            known = json.loads(base64.b64decode(value)) if value else {}
            if {**known, "sequence": 0} == {**document, "sequence": 0}:
                return
        except ValueError:
            pass  # bytes of another writer
        self.write("servers", key, document)

    def row(self, name):
        value, version = self.rows[name]
        row = dict(zip(("table", "part", "key"), name), ver=version)
        row.update({"deleted": True} if value is None else {"value": value})
        return row

    def get(self, table, part, first):
        with self.changed:
            names = sorted(it for it in self.rows if it[:2] == (table, part) and it[2] >= first)
            rows = [self.row(it) for it in names if self.rows[it][0] is not None]
            return {"rows": rows, "has-more": False, "ver": self.version,
                    "now-ms": self.now_ms()}

    def feed(self, table, since, wait):
        until = time.monotonic() + wait
        with self.changed:
            while True:
                new = [(v, it) for it, (_, v) in self.rows.items()
                       if it[0] == table and v > since]
                left = until - time.monotonic()
                if new or left <= 0:
                    rows = [self.row(it) for _, it in sorted(new)]
                    return {"rows": rows, "ver": self.version, "now-ms": self.now_ms()}
                self.changed.wait(left)


class Request:
    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body

    def value(self, name, default=""):
        return next((v for n, v in self.fields if n.lower() == name.lower()), default)


def read_head(sock, buf):
    while b"\r\n\r\n" not in buf:
        data = sock.recv(65536)
        if not data:
            return None, buf
        buf += data
    head, buf = buf.split(b"\r\n\r\n", 1)
    return head.decode("latin-1").split("\r\n"), buf


def read_request(sock, buf):
    """Returns the request and the bytes after it; the request is None at the end."""
    lines, buf = read_head(sock, buf)
    if lines is None:
        return None, buf
    method, target, _ = lines[0].split(" ", 2)
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:]]
    it = Request(method, target, fields, b"")
    size = int(it.value("Content-Length", "0"))
    while len(buf) < size:
        data = sock.recv(65536)
        if not data:
            return None, buf
        buf += data
    it.body, buf = buf[:size], buf[size:]
    return it, buf


def reset(sock):
    """Closes a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Backend:
    """A backend server. `answer(self, sock, request)` serves one request; it returns
    whether the connection stays open."""

    def __init__(self, record, name, service, answer, slots=16, host="127.0.0.1"):
        self.record, self.name, self.service, self.answer = record, name, service, answer
        self.slots, self.born = slots, int(time.time() * 1000)
        self.runs = []  # (time, Request-Id)
        self.lock = threading.Lock()
        self.listener = socket.create_server((host, 0), backlog=512)
        self.address = "%s:%d" % (host, self.listener.getsockname()[1])
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        buf = b""
        try:
            while True:
                request, buf = read_request(sock, buf)
                if request is None:
                    break
                wanted = request.value("Expect-Instance")
                if wanted and wanted != self.name:
                    send_answer(sock, 421, request, b"", [("Instance-Id", self.name)])
                    continue
                if request.target == "/health":
                    send_answer(sock, 200, request, b"", [("Instance-Id", self.name)])
                    continue
                if request.target == "/v1/order":
                    self.order(sock, request)
                    continue
                if not request.value("Request-Id"):
                    send_answer(sock, 400, request, b"", [("Not-Run", "1")])
                    continue
                if not self.answer(self, sock, request):
                    break
        except OSError:
            pass  # the gateway closed the connection
        finally:
            sock.close()

    def order(self, sock, request):
        send_answer(sock, 200, request, b'{"available":1}',
                    [("Content-Type", "application/json")])

    def run(self, request):
        """Records that a request begins to run."""
        with self.lock:
            self.runs.append((self.record.now(), request.value("Request-Id")))
        self.record.add(f"{self.name} runs {request.value('Request-Id')} "
                        f"{request.method} {request.target} ({len(request.body)} bytes)")

    def row(self, zone, state="ready"):
        """Returns the entry of this server in the store."""
        return {"service": self.service, "address": self.address, "zone": zone,
                "version": "v1", "slots": self.slots, "state": state,
                "cold-remaining-ms": 0, "stage": "combined", "models": [],
                "sequence": 0, "born": self.born}


def send_answer(sock, status, request, body, fields=(), stamp=None):
    head = f"HTTP/1.1 {status} x\r\nRequest-Id: {request.value('Request-Id')}\r\n"
    if stamp:
        head += f"Response-Stamp: {stamp}\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    sock.sendall((head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)


def begin_stream(sock, request, stamp):
    sock.sendall((f"HTTP/1.1 200 OK\r\nRequest-Id: {request.value('Request-Id')}\r\n"
                  f"Response-Stamp: {stamp}\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n").encode())


def send_chunk(sock, data):
    sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, work, store, name, zone, host, memory_mb=260):
        self.host, self.name = host, name
        self.ports = free_ports(host, 4)
        at = [f"{host}:{port}" for port in self.ports]
        self.log = open(work / f"{name}.log", "ab")
        self.path = work / f"{name}.json"
        self.settings = {
            "role": "gateway", "vm": name, "zone": zone, "region": "r",
            "zones": {zone: "r"}, "listen": at[0], "readiness": at[1], "metrics": at[2],
            "peers": at[3], "store": store.address,
            "limits": {"cores": 0.19, "memory_mb": memory_mb, "repeat_ratio": 0.2,
                       "repeat_slack": 100, "repeat_window_ms": 10000,
                       "stop_grace_ms": 8000}}
        self.write_settings()
        self.process = None

    def write_settings(self):
        part = self.path.with_suffix(".new")
        part.write_text(json.dumps(self.settings, indent=1))
        part.rename(self.path)

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PISTACHIOPOST_BOOT"] = str(self.path)
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)

    def ready(self):
        try:
            with socket.create_connection((self.host, self.ports[1]), 1) as sock:
                sock.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                return sock.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.ready():
                return True
            time.sleep(0.05)
        return False

    def connect(self):
        sock = socket.create_connection((self.host, self.ports[0]), 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def send_signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def free_ports(host, count):
    socks = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [it.getsockname()[1] for it in socks]
    for it in socks:
        it.close()
    return ports


class Answer:
    """What a client has received. `status` is 0 if there was no head; `complete` says
    whether the whole answer came, as its framing tells."""

    def __init__(self):
        self.status, self.fields, self.body, self.complete = 0, [], b"", False
        self.seconds, self.closed = 0.0, False
        self.rest = b""  # received after the answer
        self.garbage = ""  # first line, if that is no status line

    def value(self, name):
        return next((v for n, v in self.fields if n.lower() == name.lower()), "")


def read_answer(sock, until, buf=b"", method="GET"):
    """Reads the answer to a request with `method`; `buf` came before on the channel."""
    it = Answer()
    began = time.monotonic()

    def more():
        nonlocal buf
        sock.settimeout(max(until - time.monotonic(), 0.001))
        try:
            data = sock.recv(65536)
        except TimeoutError:
            return False
        except OSError:
            it.closed = True
            return False
        if not data:
            it.closed = True
            return False
        buf += data
        return True

    def fill(size):
        while len(buf) < size:
            if not more():
                return False
        return True

    def line():
        nonlocal buf
        while b"\r\n" not in buf:
            if not more():
                return None
        first, buf = buf.split(b"\r\n", 1)
        return first.decode("latin-1")

    first = line()
    if first is not None and not first.startswith("HTTP/1."):
        it.garbage = first
    elif first is not None:
        it.status = int(first.split()[1])
        while True:
            text = line()
            if not text:
                break
            it.fields.append(tuple(part.strip() for part in text.split(":", 1)))
        if text is not None and method == "HEAD":
            it.complete = True  # RFC 9110, section 9.3.2: never any content
        elif text is not None and it.value("Transfer-Encoding").lower() == "chunked":
            while True:
                size = line()
                if size is None or not fill(int(size, 16) + 2):
                    it.body += buf if size is not None else b""
                    break
                if int(size, 16) == 0:
                    it.complete, buf = True, buf[2:]
                    break
                it.body, buf = it.body + buf[:int(size, 16)], buf[int(size, 16) + 2:]
        elif text is not None:
            size = int(it.value("Content-Length") or 0)
            it.complete = fill(size)
            it.body, buf = buf[:size], buf[size:]
    it.rest, it.seconds = buf, time.monotonic() - began
    return it


def request_text(method, target, ident, deadline_ms, body=b"", fields=(), chunk=0):
    """Returns a request; the body goes out in chunks of `chunk` bytes if that is set."""
    head = (f"{method} {target} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {ident}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nApi-Key: key-a\r\n")
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    if chunk:
        parts = [body[i:i + chunk] for i in range(0, len(body), chunk)]
        data = b"".join(b"%x\r\n%s\r\n" % (len(it), it) for it in parts) + b"0\r\n\r\n"
        return (head + "Transfer-Encoding: chunked\r\n\r\n").encode() + data
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode() + body


ENGINE = {"slots": 16, "kv-capacity": 232000, "stride": 43, "step_ms": 1.02,
          "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206000.0,
          "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0,
          "usual": {"prompt": 12328, "answer": 1303}, "hop-ms": 0.075}


def configuration(version, routes, limits=None):
    """`routes` are pairs of a prefix and the fields that differ from the usual ones."""
    listed = []
    for prefix, fields in routes:
        it = {"name": "r" + prefix.strip("/"), "host": "a.example", "prefix": prefix,
              "kind": "safe", "timeout-ms": 800, "target-latency-ms": 100, "priority": 1,
              "service": "plain", "max-attempts": 2, "public": False}
        it.update(fields)
        listed.append(it)
    return {"version": version, "routes": listed,
            "services": [{"name": "model", "health-path": "/health",
                          "max-connections": 424, "engine": ENGINE},
                         {"name": "plain", "health-path": "/health",
                          "max-connections": 96}],
            "limits": limits or {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                                 "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "ann", "api-keys": ["key-a"], "priority": 1}]}


class Deployment:
    """A small deployment: a store, backend servers, and gateways in one zone each."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.work = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.backends, self.gateways = [], []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.prefix = "127.%d.%d" % (64 + os.getpid() % 128, random.randrange(1, 250))

    def add_backend(self, name, service, answer, zone="z1", slots=16, listed=True):
        it = Backend(self.record, name, service, answer, slots)
        self.backends.append(it)
        if listed:
            self.store.write("servers", name, it.row(zone))
        return it

    def add_gateway(self, name, zone="z1"):
        host = "%s.%d" % (self.prefix, 10 + len(self.gateways))
        it = Gateway(self.work, self.store, name, zone, host)
        self.gateways.append(it)
        return it

    def close(self):
        for it in self.gateways:
            it.kill()
        shutil.rmtree(self.work, ignore_errors=True)


def run_case(main):
    """Exits with what `main` returns; with 2 if the case could not run to its end."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the gateways, too
    try:
        sys.exit(main())
    except Exception:
        traceback.print_exc()
        sys.exit(2)
