"""The operator takes the keys of three customers away, one after the other, and drops each
customer with its last key. Keys that no configuration ever held must stay refused."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
import bench  # noqa: E402

ZONES = ["tamarin", "flicq", "reduit"]
TENANTS = [{"name": f"customer-{n}", "api-keys": [f"key-{n}"], "priority": 1}
           for n in (1, 2, 3)]
GAP_S = 1.5  # between two keys that are taken away
CONFIG_APPLY_S = 2.0


def answer(backend, sock, request):
    """A sound server."""
    backend.run(request)
    time.sleep(0.015)
    tenant = request.value("Tenant", "none")
    backend.record.add(f"{backend.name}: the tenant of {request.value('Request-Id')} is {tenant}")
    bench.send_answer(sock, 200, request, b"booked", stamp=backend.name)
    return True


def call(deployment, gateway, key, ident):
    text = bench.request_text("POST", "/order/2f", ident, 1_500, b"x" * 600)
    text = text.replace(b"Api-Key: key-a\r\n", f"Api-Key: {key}\r\n".encode())
    deployment.record.add(f"{ident} is sent to {gateway.name} with {key}")
    with gateway.connect() as sock:
        sock.sendall(text)
        got = bench.read_answer(sock, time.monotonic() + 3)
    deployment.record.add(f"{ident} is answered {got.status} {got.body!r}")
    return got.status


def main():
    deployment = bench.Deployment(pathlib.Path(__file__).parent)
    store, record = deployment.store, deployment.record

    def configure(version, tenants):
        document = bench.configuration(version, [
            ("/order/", {"kind": "unsafe", "max-attempts": 1})])
        document["tenants"] = tenants
        store.write("op", "config", document)
        record.add(f"the store has version {version} with the customers "
                   f"{[it['name'] for it in tenants]}")

    try:
        for i, zone in enumerate(ZONES):
            deployment.add_backend(f"i-plain-{i}", "plain", answer, zone, slots=6)
        configure(3, TENANTS)
        for zone in ZONES:
            deployment.add_gateway(f"front-{zone}-1", zone).start()
        if not all(it.wait_ready() for it in deployment.gateways):
            record.add("a gateway is not ready")
            return 2
        time.sleep(4)  # longer than the stable window
        if any(call(deployment, it, "key-1", f"known-{it.name}") != 200
               for it in deployment.gateways):
            return 2
        for n in range(len(TENANTS)):
            if deployment.trouble:
                configure(5 + 2 * n, TENANTS[n + 1:])
            time.sleep(GAP_S)
        time.sleep(CONFIG_APPLY_S + 1)
        for n in range(4):
            for it in deployment.gateways:
                call(deployment, it, f"never-held-{n}", f"unknown-{it.name}-{n}")
        ran = [ident for it in deployment.backends for _, ident in it.runs
               if ident.startswith("unknown")]
        record.add(f"{len(ran)} of 12 requests ran with a key that no version ever held: {ran}")
        return 1 if ran else 0
    finally:
        deployment.close()


bench.run_case(main)
