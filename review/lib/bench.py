"""What the scripts of this folder share: a small deployment of real processes on loopback, and
stand-ins for clients, processors, the platform and the operator.

Nothing here changes the machine: every process that is started is ended by its id, files lie in
a temporary folder, and all addresses are loopback ones.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "willowslip")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the first deployments, gnw-rooster (BRIEF, DEPLOY).
CONSTRAINTS = {
    "seedDelayS": 3, "reuseS": 2, "quietMs": 4000, "ackMs": 5000, "settleS": 4.2, "drainMs": 3000,
    "graceS": 6, "lossSlackMs": 200, "convergeMs": 3000, "revertSlackMs": 250, "stretchMs": 12000,
    "exposure": 0.1, "exposureSlack": 50, "rollbackMs": 5000, "finishS": 10, "statusS": 120,
    "notifyS": 5, "visibleMs": 3000, "leadMs": 100, "peakWindowS": 5, "peakOvershoot": 1.1,
}

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played: it says nothing of the rule."""


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self, folder):
        self.begun = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.begun, text))
            self.file.flush()


def read_head(reader):
    """The first line and the headers of a request or an answer; None at the end."""
    first = reader.readline()
    while first in (b"\r\n", b"\n"):
        first = reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = reader.readline()
        if not line:
            return None
        line = line.strip()
        if not line:
            return first.decode("latin-1").strip(), headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def exchange(address, method, path, headers, body=b"", timeout=4.0):
    """One request on a connection of its own: (status, headers, body), or None without a whole
    answer."""
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=1.0) as stream:
            stream.settimeout(timeout)
            lines = ["%s %s HTTP/1.1" % (method, path)]
            lines += ["%s: %s" % item for item in headers.items()]
            lines += ["Content-Length: %d" % len(body), "Connection: close", "", ""]
            stream.sendall("\r\n".join(lines).encode() + body)
            reader = stream.makefile("rb")
            while True:
                head = read_head(reader)
                if head is None:
                    return None
                status = int(head[0].split()[1])
                if status >= 200:
                    break
            length = int(head[1].get("content-length", "0"))
            answer = reader.read(length)
            return (status, head[1], answer) if len(answer) == length else None
    except (OSError, ValueError, IndexError):
        return None


class Http:
    """A small server; `handle(request)` is called for each request and answers by itself.

    A request has `method`, `path`, `headers`, `body`, `stream`, and `number`, which counts the
    requests of its connection from 0."""

    def __init__(self, handle, ip="127.0.0.1", keep_s=60):
        self.handle = handle
        self.keep_s = keep_s
        self.listener = socket.create_server((ip, 0), backlog=512)
        self.address = "%s:%d" % (ip, self.listener.getsockname()[1])
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(stream,), daemon=True).start()

    def serve(self, stream):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = stream.makefile("rb")
        number = 0
        try:
            while True:
                head = read_head(reader)
                if head is None:
                    return
                method, path, _ = head[0].split(" ", 2)
                body = reader.read(int(head[1].get("content-length", "0")))
                request = Request(method, path, head[1], body, stream, number)
                self.handle(request)
                number += 1
        except (OSError, ValueError):
            pass
        finally:
            stream.close()


class Request:
    def __init__(self, method, path, headers, body, stream, number):
        self.method, self.path, self.headers = method, path, headers
        self.body, self.stream, self.number = body, stream, number
        self.id = headers.get("x-attempt-id", "")

    def reply(self, status, headers=None, body=b""):
        """Writes one whole answer that names its request."""
        self.stream.sendall(self.answer(status, headers, body))

    def answer(self, status, headers=None, body=b""):
        lines = ["HTTP/1.1 %d Answer" % status]
        if self.id:
            lines.append("X-Attempt-Id: %s" % self.id)
        lines += ["%s: %s" % item for item in (headers or {}).items()]
        lines += ["Content-Length: %d" % len(body), "", ""]
        return "\r\n".join(lines).encode() + body


class Processor(Http):
    """A processor of a service or an endpoint: works on each message for `work_s`, then answers
    200 with a stamp. `runs` holds (began, message id, headers) of each run."""

    def __init__(self, record, name, work_s=0.02, ip="127.0.0.1"):
        self.record, self.name, self.work_s = record, name, work_s
        self.lock = threading.Lock()
        self.runs = []
        self.instance = "i-%s-%04x" % (name, random.getrandbits(16))
        super().__init__(self.serve_request, ip)

    def begin(self, request):
        """Notes the beginning of a run; its number, from 1."""
        with self.lock:
            self.runs.append((time.monotonic(), request.id, dict(request.headers)))
            number = len(self.runs)
        key = request.headers.get("x-order-key", "-")
        self.record("%s run %d begins: id=%s path=%s order=%s tenant=%s" % (
            self.name, number, request.id, request.path, key, request.headers.get("x-tenant", "-")))
        return number

    def seal(self, number):
        return "seal-%s-%d" % (self.name, number)

    def succeed(self, request, number):
        self.record("%s run %d ends: id=%s 200 %s" % (self.name, number, request.id, self.seal(number)))
        request.reply(200, {"X-Seal": self.seal(number)}, b"ok")

    def serve_request(self, request):
        if request.method == "GET" and request.path == "/probe":
            request.reply(200, {"X-Instance": self.instance})
            return
        target = request.headers.get("x-target-instance", self.instance)
        if target != self.instance:
            request.reply(421, {"X-Not-Run": "1"})
            return
        self.run(request)

    def run(self, request):
        number = self.begin(request)
        time.sleep(self.work_s)
        self.succeed(request, number)


class Platform(Http):
    """The platform's list of processors: `units` as the pages have them."""

    def __init__(self):
        self.units = []
        super().__init__(self.serve_request)

    def add(self, plant, processor, zone, capacity=8, revision="v1"):
        self.units.append({"plant": plant, "address": processor.address, "zone": zone, "revision": revision,
                           "capacity": capacity, "state": "ready", "coldLeftMs": 0, "id": processor.instance})

    def serve_request(self, request):
        if request.path.split("?")[0] != "/units":
            request.reply(404)
            return
        units = self.units
        if "zone=" in request.path:
            zone = request.path.split("zone=")[1].split("&")[0]
            units = [unit for unit in units if unit["zone"] == zone]
        body = json.dumps({"units": units, "nextToken": None}).encode()
        request.reply(200, {"Content-Type": "application/json"}, body)


class Cluster:
    """Three control nodes, three store nodes and one front with its agent, as
    examples/loopback.sh has them, on addresses and ports that are free."""

    CONTROL, STORE, FRONT = (2, 3, 4), (5, 6, 7), (8,)
    # The role that clients reach, and the kind of deployment where it is not the first one.
    CLIENT_ROLE, ROLLOUT = "front", ""

    def __init__(self, record, constraints=None, platform=None, regions=None):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("no %s: build first" % PROGRAM)
        self.record = record
        self.constraints = dict(CONSTRAINTS, **(constraints or {}))
        self.platform = platform
        self.regions = regions or {}
        self.folder = tempfile.mkdtemp(prefix="willowslip-review-")
        self.running, self.started, self.formed = {}, {}, False
        self.net, self.base = self.free_place()

    def free_place(self):
        for _ in range(200):
            net = "127.%d.%d" % (random.randrange(10, 250), random.randrange(1, 250))
            base = random.randrange(20000, 30000, 20)
            ips = ["%s.%d" % (net, machine) for machine in range(2, 9)] + ["127.0.0.1"]
            try:
                for ip in ips:
                    for port in range(base, base + 7):
                        with socket.create_server((ip, port)):
                            pass
                return net, base
            except OSError:
                continue
        raise CannotRun("no free ports")

    def ip(self, machine):
        return "%s.%d" % (self.net, machine)

    def zone(self, machine):
        return "zone-%d" % (machine % 3)

    @property
    def front(self):
        return "%s:%d" % (self.ip(8), self.base + 5)

    @property
    def ready_address(self):
        return "%s:%d" % (self.ip(8), self.base + 6)

    def control(self, machine):
        return "%s:%d" % (self.ip(machine), self.base + 4)

    def processes(self):
        named = [("control", m) for m in self.CONTROL] + [("store", m) for m in self.STORE]
        named += [(self.CLIENT_ROLE, m) for m in self.FRONT] + [("agent", m) for m in self.FRONT]
        return ["%s-%d" % pair for pair in named]

    def settings(self, name, first):
        role, machine = name.split("-")
        machine = int(machine)
        ip = self.ip(machine)
        zones = {self.zone(m): self.regions.get(self.zone(m), "region-0") for m in range(2, 9)}
        kind = {"control": "core", "store": "store"}.get(role, "front")
        lines = [
            'node = "%s"' % ("front-%d" % machine if kind == "front" else name),
            'role = "%s"' % role, 'machineClass = "%s"' % kind, 'ip = "%s"' % ip,
            'zone = "%s"' % self.zone(machine), 'region = "%s"' % zones[self.zone(machine)],
            "portRange = [%d, %d]" % (self.base, self.base + 3),
            "seeds = [%s]" % ", ".join('"%s"' % self.control(m) for m in self.CONTROL),
            "initialStart = %s" % ("true" if first else "false"),
            "counted = %s" % ("false" if kind == "front" else "true"),
            'discovery = "platform"',
        ]
        if self.ROLLOUT:
            lines.append('rollout = "%s"' % self.ROLLOUT)
        if kind != "front":
            lines.append('dataDir = "%s"' % os.path.join(self.folder, name))
        lines.append("[zones]")
        lines += ['%s = "%s"' % item for item in sorted(zones.items())]
        lines.append("[listen]")
        if role == "control":
            lines.append('control = "%s"' % self.control(machine))
        if role == self.CLIENT_ROLE:
            lines += ['front = "%s"' % self.front, 'ready = "%s"' % self.ready_address]
        lines += ["[limits]", "cpuShare = 0.5", "cores = 1", "memoryMb = 260", "fileLimit = 4096",
                  "linkMbps = 1000.0", "diskMb = %d" % (0 if kind == "front" else 256)]
        lines += ["[tolerance]", "machines = 1", "zones = 0", "regions = 0", "[constraints]"]
        lines += ["%s = %s" % (key, str(value).lower()) for key, value in self.constraints.items()]
        if self.platform:
            lines += ["[platform]", 'address = "%s"' % self.platform.address, "flowPerS = 42.0", "lagMs = 800"]
        return "\n".join(lines) + "\n"

    def spawn(self, name):
        """Starts a process with the command of deploy/system.toml."""
        # `initialStart` is for the first start of the whole system only.
        first = name not in self.started and not self.formed
        self.started[name] = True
        os.makedirs(os.path.join(self.folder, name), exist_ok=True)
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(name, first))
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        command = ["target/release/willowslip", name.split("-")[0]]
        environment = dict(os.environ, WILLOWSLIP_SETTINGS=path)
        self.running[name] = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                              stdout=log, stderr=log, start_new_session=True)
        log.close()
        self.record("process %s starts" % name)

    def signal(self, name, number):
        self.record("process %s gets %s" % (name, signal.Signals(number).name))
        self.running[name].send_signal(number)

    def stop(self, name):
        """As the platform stops a process: SIGTERM, and SIGKILL after graceS."""
        process = self.running[name]
        self.signal(name, signal.SIGTERM)
        try:
            process.wait(self.constraints["graceS"])
        except subprocess.TimeoutExpired:
            self.signal(name, signal.SIGKILL)
            process.wait()
        self.record("process %s has ended: %s" % (name, process.returncode))

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.running[name].wait()

    def start(self, config, within=40):
        for name in self.processes():
            self.spawn(name)
        self.formed = True
        status = self.order("POST", "/config/replace", config, {"X-Base-Revision": "0"}, within)
        if status != 200:
            raise CannotRun("the first configuration is not acknowledged: %s" % status)
        self.wait_ready(within)

    def is_ready(self):
        answer = exchange(self.ready_address, "GET", "/ready", {"Host": "ready"}, timeout=1.0)
        return answer is not None and answer[0] == 200

    def wait_ready(self, within=40):
        end = time.monotonic() + within
        while not self.is_ready():
            if time.monotonic() > end:
                raise CannotRun("the front is not ready")
            time.sleep(0.1)
        self.record("the front is ready")

    def call(self, method, path, value=None, headers=None, within=20):
        """A call of the operator: any control node, 307 followed, again on 5xx and silence."""
        body = json.dumps(value).encode() if value is not None else b""
        end, turn = time.monotonic() + within, 0
        while time.monotonic() < end:
            address = self.control(self.CONTROL[turn % 3])
            turn += 1
            target = path
            for _ in range(3):
                answer = exchange(address, method, target, dict(headers or {}, Host="control"), body, 5.0)
                if answer is None or answer[0] != 307:
                    break
                address, _, rest = answer[1]["location"][len("http://"):].partition("/")
                target = "/" + rest
            if answer is not None and answer[0] < 500 and answer[0] not in (307, 408, 429):
                self.record("operator %s %s -> %d" % (method, path, answer[0]))
                return answer
            time.sleep(0.1)
        self.record("operator %s %s -> no clear answer" % (method, path))
        return None

    def order(self, method, path, value=None, headers=None, within=20):
        answer = self.call(method, path, value, headers, within)
        return answer[0] if answer else None

    def adjust(self, base, change):
        """Changes named items and waits for the acknowledgement."""
        status = self.order("POST", "/config/adjust", change, {"X-Base-Revision": str(base)})
        if status != 200:
            raise CannotRun("the change is not acknowledged: %s" % status)

    def send(self, path, headers, body=b"x", host="post.example"):
        """A client's message: (status, name). The name is the id where none is told."""
        answer = exchange(self.front, "POST", path, dict({"Host": host, "X-Deadline-Ms": "3000"}, **headers), body)
        status = answer[0] if answer else None
        name = answer[1].get("x-message-name", headers["X-Attempt-Id"]) if answer else None
        shown = " ".join("%s=%s" % item for item in headers.items() if item[0] != "Authorization")
        self.record("client POST %s %s -> %s %s" % (path, shown, status, name or ""))
        return status, name

    def accept(self, path, headers, body=b"x", within=10):
        """As `send`, again with a new id until it is accepted."""
        end, number = time.monotonic() + within, 0
        while time.monotonic() < end:
            again = dict(headers)
            if number:
                again["X-Attempt-Id"] = "%s-%d" % (headers["X-Attempt-Id"], number)
            status, name = self.send(path, again, body)
            if status == 202:
                return name
            number += 1
            time.sleep(0.3)
        raise CannotRun("a message is not accepted")

    def state(self, name, headers=None, host="post.example"):
        answer = exchange(self.front, "GET", "/message/" + name, dict({"Host": host}, **(headers or {})), timeout=2.0)
        if answer is None or answer[0] != 200:
            self.record("client GET /message/%s -> %s" % (name, answer[0] if answer else None))
            return None
        value = json.loads(answer[2])
        self.record("client GET /message/%s -> %s" % (name, answer[2].decode()))
        return value

    def wait_settled(self, name, within=15):
        end = time.monotonic() + within
        while time.monotonic() < end:
            value = self.state(name)
            if value and value["state"] != "pending":
                return value
            time.sleep(0.25)
        return self.state(name)

    def end(self):
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running.values():
            process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, plant, **more):
    item = {"name": name, "host": "post.example", "prefix": prefix, "mode": "deferred", "cutoffMs": 1500,
            "setpointMs": 200, "rank": 1, "plant": plant, "tries": 4, "sequenced": False, "retainS": 90.0,
            "notify": False, "startSetpointMs": 1000}
    item.update(more)
    return item


def plant(name, endpoint=None, **more):
    item = {"name": name, "probe": "/probe", "connLimit": 48, "protocol": "h1", "tls": False, "flowPerS": 0.0,
            "dedupes": False, "pull": False, "endpoint": endpoint}
    item.update(more)
    return item


def config(revision, channels, plants, **more):
    value = {"revision": revision, "channels": channels, "plants": plants,
             "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000}}
    value.update(more)
    return value


def play(folder, case):
    """Runs `case(record, started)`; `started` takes clusters, which are ended whatever happens.
    Ends this process with 0, 1 or 2."""
    record, started = Record(folder), []
    signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(CannotRun("told to end")))
    threading.Timer(112, lambda: os.kill(os.getpid(), signal.SIGTERM)).start()
    record("the disruption is %s" % ("on" if TROUBLE else "off"))
    try:
        broken = case(record, started)
        code = BROKEN if broken else HELD
        record("the rule was broken: %s" % broken if broken else "the rule held")
        print(broken or "the rule held", flush=True)
    except CannotRun as why:
        code = COULD_NOT_RUN
        record("could not run: %s" % why)
        print("could not run:", why, flush=True)
    except Exception as why:  # A fault of the case itself says nothing of the rule.
        code = COULD_NOT_RUN
        record("could not run: %r" % why)
        print("could not run: %r" % why, flush=True)
    finally:
        for cluster in started:
            cluster.end()
    os._exit(code)
