"""Requests inside the limits of the configuration, in calm, whose bodies come in chunks
of one byte."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import bench  # noqa: E402

REQUESTS = 24
BODY_BYTES = 33_000  # mean of the class tower-dossier
PROMPT = [("Model", "m"), ("Token-Count", "133000,700"),
          ("Prompt-Prefix", "5c1e07a2:40,{:x}:132960")]
EVENTS = 16


def stream(backend, sock, request):
    """A sound model engine: 16 events of one answer."""
    backend.run(request)
    bench.begin_stream(sock, request, backend.name)
    for n in range(1, EVENTS + 1):
        time.sleep(0.01)
        bench.send_chunk(sock, b"id: %d\ndata: %d\n\n" % (n, n))
    sock.sendall(b"0\r\n\r\n")
    return True


def look_up(backend, sock, request):
    """A sound plain server."""
    backend.run(request)
    time.sleep(0.015)
    bench.send_answer(sock, 200, request, b"x" * 800, stamp=backend.name)
    return True


def call(deployment, gateway, text, ident, chunk):
    deployment.record.add(f"{ident} is sent to {gateway.name}, {len(text)} bytes"
                          + (f", body in chunks of {chunk}" if chunk else ""))
    with gateway.connect() as sock:
        sock.settimeout(10)
        try:
            sock.sendall(text)
        except OSError as ex:
            deployment.record.add(f"{ident}: {ex} while it is sent")
        answer = bench.read_answer(sock, time.monotonic() + 12)
    deployment.record.add(f"{ident} is answered {answer.status}, "
                          f"{'whole' if answer.complete else 'not whole'}, "
                          f"stamp {answer.value('Response-Stamp') or 'none'}, "
                          f"{answer.body[:60]!r}")
    return answer


def main():
    deployment = bench.Deployment(pathlib.Path(__file__).parent)
    chunk = 1 if deployment.trouble else 1_024
    zones = ["tamarin", "flicq", "reduit"]
    try:
        for i in range(9):
            deployment.add_backend(f"i-model-{i}", "model", stream, zones[i % 3])
        for i, zone in enumerate(zones):
            deployment.add_backend(f"i-plain-{i}", "plain", look_up, zone, slots=6)
        deployment.store.write("op", "config", bench.configuration(7, [
            ("/tower/", {"kind": "stream", "timeout-ms": 15000, "target-latency-ms": 3000,
                         "gap-target-ms": 1000, "service": "model", "sticky": True,
                         "resumable": True}),
            ("/look/", {})]))
        for zone in zones:
            deployment.add_gateway(f"front-{zone}-1", zone).start()
        if not all(it.wait_ready() for it in deployment.gateways):
            deployment.record.add("a gateway is not ready")
            return 2
        time.sleep(4)  # longer than the stable window
        denied = served = 0
        for n in range(REQUESTS):
            gateway = deployment.gateways[n % 3]
            fields = [(name, value.format(n + 1)) for name, value in PROMPT]
            text = bench.request_text("POST", "/tower/2f", f"tower-{n}", 15_000,
                                      b"x" * BODY_BYTES, fields, chunk)
            long = call(deployment, gateway, text, f"tower-{n}", chunk)
            text = bench.request_text("GET", "/look/2f", f"look-{n}", 1_500)
            short = call(deployment, gateway, text, f"look-{n}", 0)
            for it in (long, short):
                served += it.status == 200 and it.complete
                denied += 300 <= it.status < 500 and it.status not in (408, 421, 429)
        allowed = 5 + 2 * REQUESTS / 500
        deployment.record.add(f"{2 * REQUESTS} requests, {served} served, {denied} ended "
                              f"with a 4xx of a gateway; {allowed:.1f} may be")
        if served + denied < 2 * REQUESTS:
            return 2  # neither served nor denied: something else is wrong
        return 1 if denied > allowed else 0
    finally:
        deployment.close()


bench.run_case(main)
