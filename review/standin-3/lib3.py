"""Shared parts of the review's scripts: the store's records, entry hosts as the
deploy file starts them, replicas as processes of their own, and requesters.

All addresses are loopback addresses. Everything that is started is ended by
Fleet.close().
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STANDIN = os.path.join(ROOT, "target", "tests", "fleetstandin")
REPLICA = os.path.join(os.path.dirname(os.path.abspath(__file__)), "replica.py")
HOST = "fleet.example"
KEY = "key-of-team-1"
# The figures of the small deployments (SYSTEM.md).
STABLE_WINDOW_S = 3.0
CONFIG_S = 2.0
ENGINE = {
    "slots": 16, "kv_tokens": 450000, "kv_bytes": 327680, "link_mbps": 400000.0,
    "stride": 46, "models": [{"name": "m"}], "step_ms": 0.925,
    "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0,
    "pairs_per_m": 0.0917, "chunk": 2048, "report_lag_ms": 200.0,
    "loads_per_s": 0.0, "loads_at_once": 8, "delays": [],
    "usual": {"prompt": 5000, "answer": 300}, "hop_ms": 0.1,
}


class CannotRun(Exception):
    """The case couldn't be set up."""


def free_ports(count):
    """Ports below the range that outgoing connections use, each free now."""
    found = []
    port = 21000 + os.getpid() % 20 * 550
    while len(found) < count and port < 32700:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                found.append(port)
            except OSError:
                pass
        port += 1
    if len(found) < count:
        raise CannotRun("too few free ports")
    return found


def render(template, fields):
    """Fills in deploy/settings.toml as the platform does."""
    seeds = ", ".join('"%s"' % seed for seed in fields["seeds"])
    text = re.sub(r"\{\{#seeds\}\}.*?\{\{/seeds\}\}", lambda _: seeds, template)

    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[part]
        return str(found)

    return re.sub(r"\{\{([a-z_.]+)\}\}", value, text)


# The fleets whose processes run() ends.
open_fleets = []


class Fleet:
    """The store, entry hosts and replicas of one script, and its record."""

    def __init__(self, folder, hosts=2, replicas=0, more_ports=0):
        self.folder = folder
        # run.sh sets it.
        self.trouble = os.environ["TROUBLE"] != "0"
        self.dir = tempfile.mkdtemp()
        self.processes = []
        open_fleets.append(self)
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.time()
        ports = free_ports(1 + 3 * hosts + replicas + more_ports)
        self.store_addr = "127.0.0.1:%d" % ports[0]
        self.hosts = [ports[1 + 3 * i:4 + 3 * i] for i in range(hosts)]
        self.replica_ports = ports[1 + 3 * hosts:1 + 3 * hosts + replicas]
        self.more_ports = ports[1 + 3 * hosts + replicas:]
        self.host_processes = {}
        if not os.path.exists(STANDIN):
            raise CannotRun("run review/build-3.sh first")
        self.note("trouble=%d" % self.trouble)

    def note(self, text):
        self.record.write("%8.3f %s\n" % (time.time() - self.started, text))
        self.record.flush()

    def start(self, args, name):
        with open(os.path.join(self.dir, name + ".log"), "ab") as log:
            process = subprocess.Popen(args, cwd=ROOT, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def log_of(self, name):
        with open(os.path.join(self.dir, name + ".log"), errors="replace") as f:
            return f.read()

    def post(self, path, body=b""):
        request = urllib.request.Request(
            "http://%s%s" % (self.store_addr, path), data=body, method="POST")
        urllib.request.urlopen(request, timeout=5).read()

    def put(self, topic, key, value):
        self.post("/put?topic=%s&key=%s" % (topic, key),
                  json.dumps(value, separators=(",", ":")).encode())

    def drop(self, topic, key):
        self.post("/drop?topic=%s&key=%s" % (topic, key))

    def start_store(self, also=()):
        """Starts the store. At the addresses @also it names the replicas at
        that address's IP, so that a machine reaches them over its own links."""
        self.start([STANDIN, "store", "--listen", self.store_addr] +
                   (["--also", ",".join(also)] if also else []), "store")
        self.wait_http("http://%s/ok" % self.store_addr)

    @staticmethod
    def wait_http(url, seconds=15):
        end = time.time() + seconds
        while time.time() < end:
            try:
                if urllib.request.urlopen(url, timeout=2).status == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("%s doesn't answer with 200" % url)

    def start_host(self, index, zone="a", store_addr=None, name=None,
                   ports=None):
        front, ready, control = ports or self.hosts[index]
        fields = {
            "node_name": name or "edge-%s-%d" % (zone, index + 1),
            "zone": zone,
            "listen": {"front": "127.0.0.1:%d" % front,
                       "ready_addr": "127.0.0.1:%d" % ready,
                       "control_addr": "127.0.0.1:%d" % control},
            "seeds": ["127.0.0.1:%d" % h[2] for h in self.hosts[:3]],
            "platform": {"address": store_addr or self.store_addr},
            "bounds": {"retry_slack": 102, "retry_ratio": 0.2},
        }
        with open(os.path.join(ROOT, "deploy", "settings.toml")) as f:
            text = render(f.read(), fields)
        # On the platform the store has one address, so that the machines have
        # one key.
        text = text.replace("links-of-" + fields["platform"]["address"],
                            "links-of-" + self.store_addr)
        name = name or "host-%d" % index
        path = os.path.join(self.dir, name + ".toml")
        with open(path, "w") as f:
            f.write(text)
        process = self.start(
            [os.path.join(ROOT, "target", "packages", "cuminquay"),
             "--settings", path], name)
        if ports is None:
            self.host_processes[index] = process
        return process

    def wait_ready(self):
        for host in self.hosts:
            self.wait_http("http://127.0.0.1:%d/readyz" % host[1])

    def note_runs(self, replicas):
        """Notes what the replicas ran; returns the lines in order of time."""
        runs = sorted((line for r in replicas for line in r.arrivals()),
                      key=lambda line: line["at"])
        for line in runs:
            self.note("at %.3f replica %s: %s attempt=%s" % (
                line["at"] - self.started, line["id"], line["event"],
                line["attempt"]))
        return runs

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
        for process in self.processes:
            process.wait()
        self.record.close()
        shutil.rmtree(self.dir, ignore_errors=True)


class Replica:
    """A replica as a process. After it has ended by itself it is started again
    with a later `born`, as a new incarnation under a new id."""

    def __init__(self, fleet, name, port, service, options=(), back_s=1.5,
                 zone="a"):
        self.fleet = fleet
        self.name = name
        self.port = port
        self.service = service
        self.options = list(options)
        self.back_s = back_s
        self.zone = zone
        self.starts = 0
        self.process = None
        self.log = os.path.join(fleet.dir, "replica-%s.jsonl" % name)
        self.id = None

    def start(self):
        self.starts += 1
        old = self.id
        self.id = "i-%s-%d" % (self.name, self.starts)
        self.process = self.fleet.start(
            [sys.executable, "-B", REPLICA, "--listen",
             "127.0.0.1:%d" % self.port, "--id", self.id, "--log", self.log] +
            self.options, "replica-%s" % self.name)
        end = time.time() + 10
        while True:
            try:
                socket.create_connection(("127.0.0.1", self.port), 1).close()
                break
            except OSError:
                if time.time() > end:
                    raise CannotRun("replica %s doesn't listen" % self.name)
                time.sleep(0.01)
        if old is not None:
            self.fleet.drop("keyed.servers", old)
        self.enter("ready")

    def enter(self, state):
        self.fleet.put("keyed.servers", self.id, {
            "service": self.service, "address": "127.0.0.1:%d" % self.port,
            "zone": self.zone, "version": "1", "slots": 16, "state": state,
            "cold_left_ms": 0, "seq_num": 1,
            "born": int(time.time() * 1000)})

    async def keep(self):
        """Starts it again after each end."""
        while True:
            await asyncio.sleep(0.02)
            if self.process.poll() is not None:
                self.fleet.note("replica %s ended; back in %.1f s" %
                                (self.id, self.back_s))
                await asyncio.sleep(self.back_s)
                await asyncio.to_thread(self.start)

    def arrivals(self):
        lines = []
        if os.path.exists(self.log):
            with open(self.log) as f:
                for line in f:
                    lines.append(json.loads(line))
        return lines


class Answer:
    """What a requester saw: status 0 if the channel ended without a head."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False


class Channel:
    """A requester's channel, which it may keep for further requests."""

    def __init__(self, port):
        self.port = port
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.port), 1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def ask(self, method, path, headers, body=b"", limit_s=10):
        answer = Answer()
        try:
            if self.writer is None:
                await self.open()
            head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, path, HOST)
            for name, value in headers.items():
                head += "%s: %s\r\n" % (name, value)
            if body or method == "POST":
                head += "Content-Length: %d\r\n" % len(body)
            self.writer.write(head.encode() + b"\r\n" + body)
            await asyncio.wait_for(self.read(answer), limit_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ValueError):
            self.close()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def read(self, answer):
        line = await self.reader.readline()
        if not line:
            raise ValueError("no head")
        status = int(line.split()[1])
        headers = {}
        while True:
            line = await self.reader.readline()
            if line in (b"\r\n", b"\n"):
                break
            if not line:
                raise ValueError("head ends early")
            name, value = line.decode("latin-1").split(":", 1)
            headers[name.strip().lower()] = value.strip()
        answer.status = status
        answer.headers = headers
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await self.reader.readline()).split(b";")[0], 16)
                chunk = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += chunk[:-2]
        elif "content-length" in headers:
            answer.body = await self.reader.readexactly(
                int(headers["content-length"]))
        else:
            answer.body = await self.reader.read()
        answer.complete = True


def route(name, prefix, kind, service, timeout_ms=10000, goal_ms=300,
          attempts=2, resumable=False, **more):
    """A route as the platform's pages show it."""
    fields = {"name": name, "host": HOST, "path_prefix": prefix, "type": kind,
              "timeout_ms": timeout_ms, "goal_ms": goal_ms, "priority": 1,
              "service": service, "attempts": attempts, "public": False}
    if kind == "streaming":
        fields.update(affinity=True, resumable=resumable, gap_aim_ms=200)
    fields.update(more)
    return fields


def config(version, routes, services, header_bytes=16384, tenants=None):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": header_bytes,
                   "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": tenants or [{"name": "team-1", "api_keys": [KEY],
                                "priority": 1}],
    }


def run(make):
    """Runs a case: make(folder) returns a Fleet and a coroutine function that
    returns whether the rule held."""
    folder = os.getcwd() if len(sys.argv) < 2 else sys.argv[1]
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        fleet, play = make(folder)
        held = asyncio.run(asyncio.wait_for(play(), 110))
        code = 0 if held else 1
        fleet.note("result: the rule %s" % ("held" if held else "was broken"))
        print("the rule %s" % ("held" if held else "was broken"))
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print("the case couldn't run: %r" % error)
        for opened in open_fleets:
            opened.note("couldn't run: %r" % error)
    finally:
        for opened in open_fleets:
            opened.close()
    sys.exit(code)
