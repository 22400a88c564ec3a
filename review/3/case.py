"""TWICE: tries with one operation key run twice, as the configuration changed between them."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from bench import Cluster, Processor, TROUBLE, config, plant, play, route

KEY_WINDOW_S = 60
MESSAGES = 20


def case(record, started):
    cluster = Cluster(record, {"keyWindowS": KEY_WINDOW_S})
    started.append(cluster)
    carrier = Processor(record, "carrier")
    hand = route("hand", "/hand/", "carrier")
    tenant = {"name": "clinic", "keys": ["key-clinic"], "flowPerS": 0, "surge": 0}
    cluster.start(config(1, [hand], [plant("carrier", carrier.address, flowPerS=39.0)], tenants=[tenant]))

    def headers(number, try_number):
        return {"Authorization": "Bearer key-clinic", "X-Attempt-Id": "try-%d-%d" % (number, try_number),
                "X-Operation-Key": "op-%d" % number}

    sent = {}
    for number in range(MESSAGES):
        sent[number] = time.monotonic()
        cluster.accept("/hand/urgent/%d" % number, headers(number, 1))
    time.sleep(5)
    if TROUBLE:
        # A route is added: a part of the former one, to the same service, with more time.
        urgent = dict(hand, name="urgent", prefix="/hand/urgent/", cutoffMs=2500)
        cluster.adjust(1, {"revision": 2, "upsert": {"channels": [urgent]}})
    time.sleep(5)
    for number in range(MESSAGES):
        if time.monotonic() - sent[number] > KEY_WINDOW_S / 2:
            raise RuntimeError("too slow")
        cluster.accept("/hand/urgent/%d" % number, headers(number, 2))
    time.sleep(8)
    runs = {}
    for began, message, _ in carrier.runs:
        runs.setdefault(message.split("-")[1], []).append(message)
    twice = sorted(ids for ids in runs.values() if len(ids) > 1)
    record("operations: %d; run more than once: %s" % (len(runs), twice))
    if twice:
        return "TWICE: %d of %d operations ran twice inside the window of their key" % (len(twice), MESSAGES)
    return None


play(FOLDER, case)
