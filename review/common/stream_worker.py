"""Backend server as a process of its own, so that it can be killed.

Arguments: identity, number of parts of an answer, pause between parts in seconds, file
for the log of runs. Prints its port. The answer has no length and ends with its
connection: events on paths that begin with /advice/, lines on others. A request with
Last-Event-Id goes on after that event."""
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from standins import Server  # pylint: disable=wrong-import-position


class StreamWorker(Server):
    def __init__(self, identity, events, pause_s, log):
        self.identity = identity
        self.events = events
        self.pause_s = pause_s
        self.log = open(log, "a", encoding="utf-8")
        super().__init__()

    def note(self, text):
        self.log.write(f"{text}\n")
        self.log.flush()

    def serve(self, link):
        first, fields = link.head()
        link.body(fields)
        if fields.get("expect-instance", self.identity) != self.identity:
            link.sock.sendall(b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                              + self.identity.encode() + b"\r\nContent-Length: 0\r\n\r\n")
            return
        name = fields["request-id"]
        last = int(fields.get("last-event-id", "0"))
        self.note(f"{name} runs after event {last} of {self.events}")
        stream = first.split(" ")[1].startswith("/advice/")
        kind = "text/event-stream" if stream else "text/plain"
        link.sock.sendall(f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n"
                          f"Response-Stamp: {self.identity}.1\r\n"
                          f"Content-Type: {kind}\r\n"
                          "Connection: close\r\n\r\n".encode())
        for number in range(last + 1, self.events + 1):
            time.sleep(self.pause_s)
            text = f"id: {number}\ndata: part {number}\n\n" if stream else f"id: {number}\n\n"
            link.sock.sendall(text.encode())


if __name__ == "__main__":
    WORKER = StreamWorker(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), sys.argv[4])
    print(WORKER.port, flush=True)
    threading.Event().wait()
