"""The platform's store leaves the calls of some machines unanswered for some seconds. The
config changes later, when the store has answered everybody again for a while.

First three gateways in three zones, one of them unanswered; then eighteen, unanswered the
six that read the store for their zones."""
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
from standins import Case, Store, StorePath, Worker, config, request, route, service  # noqa

SILENT_S = 9.0  # platform_down (nodes ...) of the site file: for_s = 9.0
STABLE_S = 3.0  # stable-window-ms
APPLY_S = 2.0  # config-apply-ms
CHECK_S = 5.0  # time for which the last version is checked


def make_config(version, to, keys):
    return config(version, [route("r1", "/order/", "unsafe", to)],
                  [service("old"), service("new")], keys)


def play_fleet(case, count, choose):
    """Plays `count` gateways; `choose` returns the paths that become silent. Returns how
    many gateways broke the rule."""
    store = Store(case.record)
    old = Worker(case.record, "i-old", "old", "z1")
    new = Worker(case.record, "i-new", "new", "z2")
    store.put("servers", "i-old", old.entry(slots=16))
    store.put("servers", "i-new", new.entry(slots=16))
    before = {"t1": ["k1"], "t2": ["k2"]}
    store.put("op", "config", make_config(1, "old", before))
    paths = [StorePath(case.record, store, f"g{n}of{count}") for n in range(1, count + 1)]
    gateways = [case.gateway(path.name, f"z{n % 3}", path) for n, path in enumerate(paths)]
    for it in gateways:
        if not it.wait_ready():
            raise RuntimeError("a gateway is not ready")
    time.sleep(3)
    for it in paths:
        it.waits = 0
    store.put("op", "config", make_config(2, "old", before))
    time.sleep(1)

    silent = choose(paths) if case.trouble else []
    for it in silent:
        it.silent = True
    case.record.line(f"the store leaves calls of {len(silent)} of {count} machines unanswered: "
                     f"{', '.join(it.name for it in silent) or 'none'}")
    time.sleep(0.5)
    store.put("op", "config", make_config(3, "old", before))
    time.sleep(SILENT_S - 0.5)
    for it in silent:
        it.silent = False
    case.record.line("the store answers everybody")
    time.sleep(STABLE_S + 1)

    # All gateways are in touch. The route moves, the key of t2 goes, that of t3 comes.
    store.put("op", "config", make_config(4, "new", {"t1": ["k1"], "t3": ["k3"]}))
    acked = time.monotonic()
    time.sleep(APPLY_S + 0.2)
    number = 0
    stale = {}
    refused = {}
    while time.monotonic() < acked + APPLY_S + CHECK_S:
        for it in gateways:
            for key, good in (("k1", 200), ("k2", 401), ("k3", 200)):
                number += 1
                name = f"q{number}of{count}"
                status, _, _ = request(it.port, "POST", "/order/x", {
                    "Host": "desk.example", "Request-Id": name, "Deadline-Ms": 1500,
                    "Api-Key": key}, b"booking")
                at_old = old.count(name)
                case.record.line(
                    f"client: {name} with {key} to {it.name} "
                    f"{time.monotonic() - acked:.1f} s after the ack of version 4: {status}, "
                    f"run by old {at_old} times, by new {new.count(name)} times")
                if at_old or status != good:
                    stale[it.name] = stale.get(it.name, 0) + 1
                    refused[it.name] = refused.get(it.name, 0) + (status == 401)
        time.sleep(0.4)
    for it in gateways:
        it.stop()
    names = {it.name for it in silent}
    for name, wrong in stale.items():
        case.record.line(
            f"CONFIG broken: {name}, {'' if name in names else 'never '}left unanswered, handled "
            f"{wrong} requests as only an older version allows, more than {APPLY_S} s after the "
            f"ack; {refused[name]} of them, with the key of t3, got 401")
    case.record.line(f"{len(stale)} of {count} gateways broke CONFIG, "
                     f"{len(set(stale) - names)} of them were never left unanswered")
    return len(stale)


def play(case):
    one = play_fleet(case, 3, lambda paths: paths[1:2])
    relays = play_fleet(case, 18, lambda paths: [it for it in paths if it.waits > 0][:6])
    return one + relays


Case(FOLDER).run(play)
