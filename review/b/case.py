"""MIXED: a processor's second answer to a failed attempt is taken for the answer to the next
attempt at the same message, which is then given up though it has not ended."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from bench import Cluster, Processor, TROUBLE, config, plant, play, route

# As the requests `cover-req` of gnw-rooster have it.
TRIES = 3
RUN_S = 0.6


class Desk(Processor):
    """Runs 60 messages well. `hard` fails at its first two attempts and succeeds at its third.
    In trouble, the answer to its first attempt comes a second time, late: in the place where the
    next answer on that connection is due."""

    def __init__(self, record):
        self.second_answer, self.attempts, self.succeeded = {}, 0, None
        super().__init__(record, "desk", 0.01)

    def run(self, request):
        late = self.second_answer.pop(request.stream, None)
        if late:
            self.record("desk sends its second answer to the first attempt, late")
            request.stream.sendall(late)
        number = self.begin(request)
        if request.id != "hard":
            time.sleep(self.work_s)
            self.succeed(request, number)
            return
        self.attempts += 1
        attempt = self.attempts
        time.sleep(RUN_S)
        if attempt < TRIES:
            answer = request.answer(500)
            self.record("desk run %d ends: attempt %d of hard: 500" % (number, attempt))
            if TROUBLE and attempt == 1:
                self.second_answer[request.stream] = answer
            request.stream.sendall(answer)
            return
        self.succeeded = self.succeeded or time.monotonic()
        self.succeed(request, number)


def case(record, started):
    cluster = Cluster(record)
    started.append(cluster)
    desk = Desk(record)
    cluster.start(config(1, [route("covers", "/covers/", "desk", tries=TRIES)], [plant("desk", desk.address)]))
    for number in range(60):
        last = cluster.accept("/covers/0", {"X-Attempt-Id": "plain-%d" % number})
    cluster.wait_settled(last)
    time.sleep(0.5)
    hard = cluster.accept("/covers/1", {"X-Attempt-Id": "hard"})
    end, dead = time.monotonic() + 10, None
    while time.monotonic() < end:
        value = cluster.state(hard)
        if dead is None and value and value["state"] == "dead_letter":
            dead = time.monotonic()
        time.sleep(0.1)
    if desk.attempts < TRIES and dead is None:
        raise RuntimeError("the message did not run as meant")
    if dead is not None and (desk.succeeded is None or dead < desk.succeeded):
        return "MIXED: dead_letter is told of a message that has not ended: %d attempts failed, %d are allowed" % (
            TRIES - 1, TRIES)
    return None


play(FOLDER, case)
