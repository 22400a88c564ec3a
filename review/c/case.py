"""CEILING: a route with waiting messages is moved to a service that has a ceiling; every store
machine that has some of them sends as much as the whole ceiling allows."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from bench import Cluster, Platform, Processor, TROUBLE, config, plant, play, route

FLOW_PER_S, WINDOW_S, OVERSHOOT = 20.0, 5.0, 1.1
MESSAGES, DELAY_MS = 600, 12000


def most_in_window(times):
    times = sorted(times)
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def case(record, started):
    platform = Platform()
    cluster = Cluster(record, {"keyWindowS": 60}, platform)
    started.append(cluster)
    for machine in (5, 6, 7):
        for _ in range(2):
            platform.add("desk", Processor(record, "desk"), cluster.zone(machine), capacity=8)
    partner = Processor(record, "partner")
    # Without the disruption the route goes to the service with the ceiling from the start.
    offers = route("offers", "/offers/", "desk" if TROUBLE else "partner")
    tenant = {"name": "council", "keys": ["key-council"], "flowPerS": 0, "surge": 0}
    cluster.start(config(1, [offers], [plant("desk"), plant("partner", partner.address, flowPerS=FLOW_PER_S)],
                         tenants=[tenant]))
    lock, left, names = threading.Lock(), list(range(MESSAGES)), []

    def client():
        while True:
            with lock:
                if not left:
                    return
                number = left.pop()
            headers = {"Authorization": "Bearer key-council", "X-Attempt-Id": "offer-%d" % number,
                       "X-Operation-Key": "op-%d" % number, "X-Delay-Ms": str(DELAY_MS)}
            status, name = cluster.send("/offers/1", headers)
            if status == 202:
                with lock:
                    names.append(name)

    clients = [threading.Thread(target=client) for _ in range(8)]
    for thread in clients:
        thread.start()
    for thread in clients:
        thread.join()
    if len(names) < MESSAGES / 2:
        raise RuntimeError("only %d messages were accepted" % len(names))
    if TROUBLE:
        cluster.adjust(1, {"revision": 2, "upsert": {"channels": [dict(offers, plant="partner")]}})
    time.sleep(DELAY_MS / 1000 + 20)
    most = most_in_window([run[0] for run in partner.runs])
    allowed = FLOW_PER_S * WINDOW_S * OVERSHOOT + 5
    record("accepted: %d; arrivals: %d; most in %g s: %d; allowed: %g" % (
        len(names), len(partner.runs), WINDOW_S, most, allowed))
    if len(partner.runs) < 100:
        raise RuntimeError("hardly any message came to the service")
    if most > allowed:
        return "CEILING: %d arrivals in %g s, %g are allowed" % (most, WINDOW_S, allowed)
    return None


play(FOLDER, case)
