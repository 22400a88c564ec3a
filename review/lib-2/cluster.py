"""Starts a small deployment on loopback addresses, with the commands of deploy/system.toml."""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LIB = os.path.dirname(os.path.abspath(__file__))


def commands():
    with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
        return {name: role["run"].split() for name, role in tomllib.load(f)["roles"].items()}

def free_net():
    """A block of loopback addresses on which nothing listens."""
    for _ in range(200):
        net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        try:
            for last in range(2, 40):
                for port in (8064, 8069, 8063, 7780, 7781, 7782, 7783):
                    with socket.socket() as s:
                        s.bind((f"{net}.{last}", port))
            return net
        except OSError:
            continue
    raise RuntimeError("no free addresses")

def end_in_order(*_):
    """SIGTERM and SIGINT end the script as an exception does, so that it stops what it started."""
    sys.exit(2)


class Cluster:
    def __init__(self, fronts=1, controls=3, stores=3, extra="", platform="", front_role="front", memory=256, constraints=None, rollout=""):
        signal.signal(signal.SIGTERM, end_in_order)
        signal.signal(signal.SIGINT, end_in_order)
        self.net = free_net()
        self.dir = tempfile.mkdtemp(prefix="case-")
        self.procs = {}
        self.commands = commands()
        self.spec = {}
        c = dict(quietMs=4000, ackMs=5000, settleS=4.2, drainMs=3000, graceS=6, lossSlackMs=200, convergeMs=3000,
                 revertSlackMs=250, stretchMs=12000, exposure=0.1, exposureSlack=50, rollbackMs=5000, finishS=10,
                 statusS=120, notifyS=5, visibleMs=3000, leadMs=100, peakWindowS=5, peakOvershoot=1.1)
        c.update(constraints or {})
        self.constraints, self.platform, self.memory, self.rollout = c, platform, memory, rollout
        self.controls = [2 + i for i in range(controls)]
        self.stores = [10 + i for i in range(stores)]
        self.fronts = [20 + i for i in range(fronts)]
        self.front_role = front_role
        seeds = ", ".join(f'"{self.net}.{n}:8064"' for n in self.controls)
        zones = "\n".join(f'zone-{i} = "region-{i}"' for i in range(3))
        for kind, numbers in (("control", self.controls), ("store", self.stores), (front_role, self.fronts), ("agent", self.fronts)):
            for k, n in enumerate(numbers):
                ip = f"{self.net}.{n}"
                name = f"{kind}-{n}"
                node = f"front-{n}" if kind in ("agent", front_role) else name
                os.makedirs(f"{self.dir}/{name}")
                listen = {"control": f'control = "{ip}:8064"', "store": "", "agent": ""}.get(kind, f'front = "{ip}:8069"\nready = "{ip}:8063"')
                cls = {"control": "core", "store": "store"}.get(kind, "front")
                text = f'''node = "{node}"
role = "{kind}"
machineClass = "{cls}"
ip = "{ip}"
zone = "zone-{k % 3}"
region = "region-{k % 3}"
portRange = [7780, 7795]
seeds = [{seeds}]
initialStart = true
discovery = "platform"
dataDir = "{self.dir}/{name}"
{self.rollout}
[zones]
{zones}
[listen]
{listen}
[limits]
memoryMb = {self.memory}
diskMb = 256
fileLimit = 4100
[tolerance]
machines = 1
zones = 0
regions = 0
[constraints]
''' + "\n".join(f"{k} = {str(v).lower() if isinstance(v, bool) else v}" for k, v in c.items()) + f'''
[platform]
address = "{platform}"
flowPerS = 42.0
duties = []
lagMs = 800
''' + extra
                with open(f"{self.dir}/{name}.toml", "w") as f:
                    f.write(text)
                self.spec[name] = kind

    def start(self, name):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        # As on the users' machines, the allocator uses a single arena: memory counts there.
        env["MALLOC_ARENA_MAX"] = "1"
        env["WILLOWSLIP_SETTINGS"] = f"{self.dir}/{name}.toml"
        log = open(f"{self.dir}/{name}.log", "ab")
        cmd = self.commands[self.spec[name]]
        self.procs[name] = subprocess.Popen(cmd, cwd=ROOT, env=env, stdout=log, stderr=log)

    def start_all(self):
        for name in self.spec:
            self.start(name)

    def signal(self, name, sig):
        self.procs[name].send_signal(sig)

    def stop_all(self):
        for p in self.procs.values():
            if p.poll() is None:
                p.kill()
        for p in self.procs.values():
            p.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.dir, ignore_errors=True)

    def start_helper(self, name, script, *args):
        """Starts a stand-in of this folder as a process of its own."""
        out = open(f"{self.dir}/{name}.out", "ab")
        cmd = [sys.executable, os.path.join(LIB, script), *map(str, args)]
        self.procs[name] = subprocess.Popen(cmd, stdout=out, stderr=subprocess.DEVNULL)

    def output(self, name):
        try:
            with open(f"{self.dir}/{name}.out") as f:
                text = f.read()
                return text[:text.rfind("\n") + 1].splitlines()
        except OSError:
            return []

    def operator(self, method, path, body=None, base=None, within=25):
        """Calls a control node as the operators do: follows 307 twice, else moves on to the next node."""
        end = time.time() + within
        last = None
        turn = 0
        while time.time() < end:
            host = f"{self.net}.{self.controls[turn % len(self.controls)]}:8064"
            turn += 1
            try:
                for _ in range(3):
                    h = {"Content-Type": "application/json"}
                    if base is not None:
                        h["X-Base-Revision"] = str(base)
                    c = http.client.HTTPConnection(host, timeout=2)
                    c.request(method, path, body=json.dumps(body) if body is not None else None, headers=h)
                    r = c.getresponse()
                    data = r.read()
                    c.close()
                    if r.status == 307:
                        host = r.getheader("Location").split("/")[2]
                        continue
                    break
                last = (r.status, data)
                if r.status < 500 and r.status not in (307, 408, 429):
                    return last
            except OSError as e:
                last = (0, str(e).encode())
            time.sleep(0.3)
        return last

    def wait_ready(self, within=25):
        end = time.time() + within
        for n in self.fronts:
            while True:
                if time.time() > end:
                    return False
                try:
                    c = http.client.HTTPConnection(f"{self.net}.{n}:8063", timeout=1)
                    c.request("GET", "/ready")
                    if c.getresponse().status == 200:
                        break
                except OSError:
                    pass
                time.sleep(0.2)
        return True
