"""ORDER: a store machine is added to a region that had too few; messages of order keys that are
under way elsewhere are passed by those that come after it."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from bench import Cluster, Processor, TROUBLE, config, plant, play, route

KEYS = 12
RUN_S, PAUSE_S, LENGTH_S, ADDED_AT_S = 0.6, 0.5, 30, 8


class TwoRegions(Cluster):
    """One more store machine, 9, may be added to the south, which has one."""

    def zone(self, machine):
        return "south-hall" if machine in (3, 7, 9) else "north-hall"


class Ledger(Processor):
    def __init__(self, record):
        self.work = {}
        super().__init__(record, "ledger", RUN_S)

    def run(self, request):
        number = self.begin(request)
        began = time.monotonic()
        time.sleep(self.work_s)
        with self.lock:
            first, _ = self.work.get(request.id, (began, None))
            self.work[request.id] = (first, time.monotonic())
        self.succeed(request, number)


def case(record, started):
    cluster = TwoRegions(record, regions={"south-hall": "south", "north-hall": "north"})
    started.append(cluster)
    ledger = Ledger(record)
    swaps = route("swaps", "/swaps/", "ledger", sequenced=True, domains=["north", "south"])
    cluster.start(config(1, [swaps], [plant("ledger", ledger.address)]))
    cluster.accept("/swaps/0", {"X-Attempt-Id": "warm", "X-Order-Key": "warm"}, within=30)
    begun, sent = time.monotonic(), {key: [] for key in range(KEYS)}

    def client(key):
        number = 0
        while time.monotonic() < begun + LENGTH_S:
            number += 1
            id, at = "k%d-%d" % (key, number), time.monotonic()
            status, name = cluster.send("/swaps/1", {"X-Attempt-Id": id, "X-Order-Key": "k%d" % key})
            if status == 202:
                sent[key].append((id, at, time.monotonic(), name))
            time.sleep(max(0.0, at + PAUSE_S - time.monotonic()))

    clients = [threading.Thread(target=client, args=(key,)) for key in range(KEYS)]
    for thread in clients:
        thread.start()
    if TROUBLE:
        time.sleep(ADDED_AT_S)
        cluster.spawn("store-9")
    for thread in clients:
        thread.join()
    time.sleep(20)
    accepted = sum(len(all) for all in sent.values())
    if accepted < KEYS * LENGTH_S or len(ledger.work) < accepted:
        record("accepted: %d, run: %d" % (accepted, len(ledger.work)))
    broken = []
    for key, messages in sent.items():
        for at, (later, sent_at, _, _) in enumerate(messages):
            for earlier, _, accepted_at, _ in messages[:at]:
                if later not in ledger.work or accepted_at >= sent_at:
                    continue
                end = ledger.work.get(earlier, (None, None))[1]
                if end is None or ledger.work[later][0] < end:
                    broken.append((later, earlier))
    record("accepted: %d, run: %d, pairs out of order: %s" % (accepted, len(ledger.work), broken))
    if broken:
        return "ORDER: %d pairs of %d keys, as %s that begins before %s has ended" % (
            len(broken), len({later.split("-")[0] for later, _ in broken}), broken[0][0], broken[0][1])
    return None


play(FOLDER, case)
