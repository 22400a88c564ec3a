"""One message with a body just under 4 MiB, where the configuration allows 8 MiB.

Messages of one order key are accepted, delayed by 3 s. Then one more message of that key comes,
with a long body. Judged is the rule LOST of RULES.md and NEWS-19: accepted messages that stay
pending though their time has come, in calm, with idle processors.
"""
import http.client
import json
import os
import sys
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import cluster

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BODY_LIMIT = 8 << 20
# Just under 4 MiB, the length of the longest frame; a few lengths, as headers count too.
SIZES = range(4_194_196, 4_194_260, 8)
CALM_S = 25.0

record = open(os.path.join(HERE, "record.txt"), "w")
began = time.time()


def note(text):
    record.write(f"{time.time() - began:7.2f} {text}\n")
    record.flush()


def main():
    deployment = cluster.Cluster(memory=270)
    front = f"{deployment.net}.20:8069"

    def call(method, path, body=None, headers=None):
        connection = http.client.HTTPConnection(front, timeout=6)
        try:
            connection.request(method, path, body=body, headers={"Host": "h.example", **(headers or {})})
            response = connection.getresponse()
            return response.status, response.getheader("X-Message-Name"), response.read()
        except (OSError, http.client.HTTPException) as error:
            return 0, None, repr(error).encode()
        finally:
            connection.close()

    def send(name, body, delay_ms=0):
        headers = {"X-Attempt-Id": name, "X-Order-Key": "k", "X-Deadline-Ms": "3000"}
        if delay_ms:
            headers["X-Delay-Ms"] = str(delay_ms)
        status, message, _ = call("POST", "/a/x", body, headers)
        note(f"sent {name}, {len(body)} bytes: {status} {message or ''}")
        return status, message

    try:
        deployment.start_all()
        deployment.start_helper("endpoint", "endpoint.py", f"{deployment.net}.30", 9000)
        configuration = {
            "revision": 1,
            "channels": [{"name": "r", "host": "h.example", "prefix": "/a/", "mode": "deferred", "cutoffMs": 1500,
                          "setpointMs": 200, "rank": 1, "plant": "p", "tries": 4, "sequenced": True,
                          "retainS": 90.0, "notify": False, "startSetpointMs": 1000}],
            "plants": [{"name": "p", "probe": "/probe", "connLimit": 64, "protocol": "h1", "tls": False,
                        "flowPerS": 0.0, "dedupes": False, "pull": False, "endpoint": f"{deployment.net}.30:9000"}],
            "limits": {"headerBytes": 16384, "bodyBytes": BODY_LIMIT, "headerMs": 3000, "idleMs": 15000},
        }
        answer = deployment.operator("POST", "/config/replace", configuration, 0)
        if answer[0] != 200 or not deployment.wait_ready():
            note(f"could not start: {answer}")
            return 2
        time.sleep(2)
        accepted = {}
        for number in range(8):
            status, message = send(f"m{number}", b"body", delay_ms=3000)
            if status == 202:
                accepted[f"m{number}"] = message
        if len(accepted) < 8:
            return 2
        if TROUBLE:
            for size in SIZES:
                status, message = send(f"long{size}", b"x" * size)
                if status == 202:
                    accepted[f"long{size}"] = message
                else:
                    break
        note(f"calm for {CALM_S} s")
        time.sleep(CALM_S)
        ran = {line.split()[1] for line in deployment.output("endpoint")}
        lost = []
        for name, message in accepted.items():
            status, _, body = call("GET", f"/message/{message}")
            state = json.loads(body).get("state") if status == 200 else f"status {status}"
            note(f"{name}: {'ran' if name in ran else 'has not run'}, state {state}")
            if name not in ran and state == "pending":
                lost.append(name)
        status, _ = send("last", b"body")
        note(f"a message afterwards: {status}; ends of processes: "
             f"{[name for name, process in deployment.procs.items() if process.poll() is not None]}")
        note(f"accepted {len(accepted)}, pending and never run {len(lost)}")
        note("the rule was broken" if lost else "the rule held")
        return 1 if lost else 0
    finally:
        deployment.stop_all()


try:
    code = main()
except Exception:
    note(traceback.format_exc())
    code = 2
sys.exit(code)
