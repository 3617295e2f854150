"""A small deployment on loopback: store, runners, advice service, operator, clients and daemons.

The store and the runners do what PROTOCOL.md says; where it is silent they behave like sound
servers. Faults are injected only through the methods and hooks that say so.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
STOP_GRACE_S = 0.1


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class HttpServer:
    """HTTP/1.1 over TCP. A handler that returns None closes the channel without an answer."""

    def __init__(self, handler, port=0):
        self.handler, self.port = handler, port
        self.server, self.writers = None, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def abort(self):
        """Stops listening and resets all channels."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    return
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.revision, self.items, self.events = 1, {}, []
        self.leases, self.next_lease = {}, 1
        self.changed = asyncio.Event()
        # Decides what becomes of a transaction: None carries it out and answers, and a number
        # of seconds carries it out that much later, if its condition holds then, unanswered.
        self.transaction_delay = lambda body: None
        self.http = HttpServer(self.handle)

    async def start(self):
        await self.http.start()
        asyncio.ensure_future(self.expire_leases())
        return self

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [k for k, (_, until) in self.leases.items() if until <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply([], keys)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def apply(self, puts, removed):
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": value, "revision": self.revision, "created": created,
                    "lease": lease}
            self.items[key] = item
            self.events.append((self.revision, key, item))
        for key in removed:
            if self.items.pop(key, None):
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.events.append((self.revision, key, event))
        self.wake()

    def write(self, key, value):
        """A write by the operator or a runner."""
        self.apply([(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)], [])

    def remove(self, key):
        self.apply([], [key])

    def transact(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [other["key"] for other in body["expected"]]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        puts = [(p["key"], p["value"], p.get("lease", 0)) for p in body.get("puts", [])]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, None
        if puts or body.get("remove"):
            self.apply(puts, body.get("remove", []))
        return 200, {"revision": self.revision}

    async def transact_late(self, body, delay):
        await asyncio.sleep(delay)
        status, _ = self.transact(body)
        keys = [put["key"] for put in body.get("puts", [])]
        self.record(f"store carries out the unanswered write of {keys} now: {status}")

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, **{"at-rev": self.revision})) if item else (404, None)
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
            keys = [k for k in keys if k > query.get("after", "")]
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has-more": len(keys) > 500, "at-rev": self.revision}
        if url.path == "/kv-watch":
            prefix, after = query["prefix"], int(query["after"])
            until = time.monotonic() + int(query["wait-ms"]) / 1000
            while True:
                events = [e for r, k, e in self.events if r > after and k.startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at-rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/kv-txn":
            transaction = json.loads(body)
            delay = self.transaction_delay(transaction)
            if delay is not None:
                asyncio.ensure_future(self.transact_late(transaction, delay))
                await asyncio.sleep(60)
                return None
            return self.transact(transaction)
        if url.path == "/kv-lease":
            ttl = max(json.loads(body)["ttl-ms"], 1000)
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl}
        name, _, lease = url.path.rpartition("/")
        lease = int(lease) if lease.isdigit() else None
        if name == "/kv-keep":
            if lease not in self.leases:
                return 404, None
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if name == "/kv-lease-end":
            if lease not in self.leases:
                return 404, None
            self.end_lease(lease)
            return 200, {}
        return 404, None


class Runner:
    """A runner of one service. `run_s` returns how long a task works; None until stopped."""

    def __init__(self, name, service, store, record, run_s, capacity=None, labels=("a", "r1-1")):
        self.name, self.service, self.store, self.record = name, service, store, record
        self.run_s, self.labels = run_s, list(labels)
        self.capacity = capacity or {"cpu": 4000, "mem-mb": 8192, "gpus": 0}
        self.http = HttpServer(self.handle)
        self.is_up, self.beat, self.clock_rate = False, None, 1.0
        self.state, self.remaining_ms = "ready", None
        # The address in the entry, if it isn't the runner's own.
        self.public_address = None
        # All runs of all lives: task, attempt, life, start, end, how.
        self.runs, self.life = [], 0
        # When the lease was seen to have lapsed.
        self.lapses = []

    async def start(self):
        """Begins a life: nothing runs, and nothing of an earlier one is known."""
        self.life += 1
        self.born_ms = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.token, self.lease_until, self.stopped = 0, None, {}
        self.present, self.ends, self.end_count = {}, [], 0
        self.changed = asyncio.Event()
        self.is_up, self.state, self.remaining_ms = True, "ready", None
        await self.http.start()
        self.beat = asyncio.ensure_future(self.register())
        asyncio.ensure_future(self.work(self.life))
        return self

    def crash(self):
        """Ends the life: all that runs ends with it, and nobody is told."""
        self.is_up = False
        self.beat.cancel()
        self.http.abort()
        for run in self.present.values():
            run.update(end=time.monotonic(), how="crash of the runner")
        self.present = {}

    async def leave(self, drain_s):
        """A planned shutdown: the runner reports that it drains, goes on serving, and exits."""
        self.state, self.remaining_ms = "draining", int(drain_s * 1000)
        self.write_entry()
        self.record(f"runner {self.name} reports that it drains")
        await asyncio.sleep(drain_s)
        self.crash()
        self.store.remove(f"servers/{self.name}")
        self.record(f"runner {self.name} has left")

    def write_entry(self):
        self.sequence += 1
        entry = {
            "service": self.service, "address": self.public_address or self.http.address,
            "zone": "z1", "version": "v1", "slots": 8, "state": self.state, "cold-left-ms": 0,
            "sequence": self.sequence, "born": self.born_ms, "capacity": self.capacity,
            "labels": self.labels,
        }
        if self.remaining_ms is not None:
            entry["remaining-ms"] = self.remaining_ms
        self.store.write(f"servers/{self.name}", entry)

    async def register(self):
        self.sequence = 0
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def clock_ms(self):
        return int((time.monotonic() - self.origin) * 1000 * self.clock_rate)

    def finish(self, key, how):
        run = self.present.pop(key)
        run.update(end=time.monotonic(), how=how)
        task, attempt = key
        self.stopped[task] = max(self.stopped.get(task, 0), attempt)
        self.end_count += 1
        self.ends.append([self.end_count, task, attempt, how, ""])
        self.record(f"runner {self.name}: run {task} attempt {attempt} ends {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def work(self, life):
        while self.is_up and self.life == life:
            now = time.monotonic()
            for key, run in list(self.present.items()):
                if run["until"] is not None and now >= run["until"]:
                    self.finish(key, run["how_done"])
            if self.lease_until is not None and self.clock_ms() >= self.lease_until:
                self.lapses.append(now)
                for key in list(self.present):
                    self.finish(key, "lapsed")
            await asyncio.sleep(0.01)

    def forget_ends(self, last_seen):
        """Ends up to `last_seen` are taken note of."""
        for end in self.ends:
            if end[0] <= last_seen:
                for run in self.runs:
                    if run["life"] == self.life and (run["task"], run["attempt"]) == (end[1], end[2]):
                        run["noted"] = time.monotonic()
        self.ends = [end for end in self.ends if end[0] > last_seen]

    def extend(self, body):
        if body.get("deadline-ms") is not None:
            deadline = min(body["deadline-ms"], self.clock_ms() + 6000)
            self.lease_until = max(self.lease_until or 0, deadline)

    async def handle(self, method, target, headers, data):
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, None
        body = json.loads(data or b"{}")
        if target not in ("/run-start", "/run-stop", "/hold", "/pace"):
            return 404, None
        if body.get("fencing-token", 0) < self.token:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.token = body.get("fencing-token", 0)
        if target == "/run-start":
            return self.run_start(body)
        if target == "/run-stop":
            key = (body["task"], body["attempt"])
            self.record(f"runner {self.name}: told to stop {key[0]} attempt {key[1]}")
            self.stopped[key[0]] = max(self.stopped.get(key[0], 0), key[1])
            if key in self.present:
                await asyncio.sleep(STOP_GRACE_S)
                if key in self.present:
                    self.finish(key, "stopped")
            return 200, {"clock-ms": self.clock_ms()}
        if target == "/pace":
            return 200, {"clock-ms": self.clock_ms()}
        self.extend(body)
        until = time.monotonic() + min(body.get("wait-ms", 0), 2000) / 1000
        while True:
            self.forget_ends(body.get("last-seen", 0))
            left = until - time.monotonic()
            if self.ends or left <= 0:
                running = [[task, attempt, "", 100 if run["until"] is None else 50]
                           for (task, attempt), run in self.present.items()]
                return 200, {"born": self.born_ms, "clock-ms": self.clock_ms(),
                             "running": running, "finished": self.ends[:500]}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def run_start(self, body):
        key = (body["task"], body["attempt"])
        if body["deadline-ms"] <= self.clock_ms():
            return 409, {"clock-ms": self.clock_ms(), "reason": "late"}
        self.extend(body)
        if key not in self.present:
            if key[1] <= self.stopped.get(key[0], 0):
                return 409, {"clock-ms": self.clock_ms(), "reason": "old"}
            seconds, how = self.run_s(key[0], body["command"])
            now = time.monotonic()
            run = {"task": key[0], "attempt": key[1], "runner": self.name, "life": self.life,
                   "start": now, "end": None, "how": None, "how_done": how, "noted": None,
                   "until": None if seconds is None else now + seconds}
            self.present[key] = run
            self.runs.append(run)
            self.record(f"runner {self.name} (life {self.life}): run {key[0]} attempt {key[1]} starts")
        return 200, {"clock-ms": self.clock_ms()}


class OrderProxy:
    """A proxy in front of a runner, at the address that the runner registers.

    `delay` decides what becomes of an order: None passes it on, and a number of seconds delivers
    it that much later, unanswered, to the process that then listens for the runner.
    """

    def __init__(self, runner, record):
        self.runner, self.record = runner, record
        self.delay = lambda target, body: None
        self.http = HttpServer(self.handle)

    async def start(self):
        await self.http.start()
        self.runner.public_address = self.http.address
        return self

    async def forward(self, method, target, headers, data, limit_s=10.0):
        extra = {"X-Expect-Instance": headers["x-expect-instance"]} if "x-expect-instance" in headers else {}
        try:
            return await call((HOST, self.runner.http.port), method, target,
                              json.loads(data) if data else None, deadline_ms=limit_s * 1000,
                              extra=extra)
        except OSError:
            return 0, None

    async def deliver_late(self, delay, request):
        await asyncio.sleep(delay)
        status, answer = await self.forward(*request)
        self.record(f"proxy delivers the unanswered order {request[1]} {request[3].decode()} now: "
                    f"{status} {answer}")

    async def handle(self, method, target, headers, data):
        delay = self.delay(target, json.loads(data or b"{}"))
        if delay is not None:
            self.record(f"proxy keeps the order {target} {data.decode()} for {delay} s")
            asyncio.ensure_future(self.deliver_late(delay, (method, target, headers, data)))
            await asyncio.sleep(60)
            return None
        status, answer = await self.forward(method, target, headers, data)
        return (status, answer) if status else None


class Daemon:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, name, store_address, folder, record):
        self.name, self.folder, self.record = name, folder, record
        self.ports = [free_port() for _ in range(4)]
        self.store_address, self.process, self.log = store_address, None, None

    @property
    def front(self):
        return HOST, self.ports[0]

    async def start(self):
        path = Path(self.folder) / f"{self.name}.json"
        front, ready, control, metrics = self.ports
        path.write_text(json.dumps({
            "node-name": self.name, "role": "daemon", "machine-class": "edge",
            "serves": ["edge", "control"], "ip": HOST, "zone": "z1", "region": "r",
            "zones": {"z1": "r"},
            "listen-addrs": {"frontend": f"{HOST}:{front}", "readiness": f"{HOST}:{ready}",
                             "control-plane": f"{HOST}:{control}"},
            "seeds": [], "bootstrap": True, "discovery": "platform", "entry-point": "vip",
            "heartbeat-ms": 1500, "control-mode": "call",
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100},
            "bounds": {"contact-ms": 3000, "ack-timeout-ms": 4000, "grace-s": 6,
                       "max-hold-ms": 6000, "stop-grace-ms": 200, "cancel_ms": 3000,
                       "visible_ms": 3000, "status_s": 120, "lease-ms": 3000},
            "platform": {"address": self.store_address, "form": "kv", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                         "min-ttl-ms": 1000},
        }))
        self.log = open(Path(self.folder) / f"{self.name}.log", "a")
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / "target/release/auburnsaddled"), "--metrics-port", str(metrics),
            cwd=ROOT, env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C.UTF-8",
                           "AUBURNSADDLE_SETTINGS": str(path)},
            stdout=self.log, stderr=self.log)
        self.record(f"daemon {self.name} starts")

    def send(self, number):
        self.record(f"daemon {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            return (await call((HOST, self.ports[1]), "GET", "/ready"))[0] == 200
        except OSError:
            return False

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def call(address, method, path, body=None, host=None, deadline_ms=3000, extra=None):
    """Sends one request on a channel of its own. Status 0 means that no answer came."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(*address)
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host or 'x'}",
                 f"X-Deadline-Ms: {int(deadline_ms)}", "Content-Type: application/json",
                 f"Content-Length: {len(data)}"]
        lines += [f"{name}: {value}" for name, value in (extra or {}).items()]
        writer.write("\r\n".join(lines + ["", ""]).encode() + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        headers = {k.strip().lower(): v.strip() for k, _, v in (h.partition(":") for h in head[1:])}
        data = await reader.readexactly(int(headers.get("content-length", 0)))
        return int(head[0].split(" ")[1]), json.loads(data) if data else None

    try:
        return await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return 0, None
    finally:
        if writer:
            writer.transport.abort()


class Deployment:
    """Store, runners and daemons of one case."""

    def __init__(self, record):
        self.record, self.folder = record, tempfile.mkdtemp(prefix="review-")
        self.store, self.runners, self.daemons = Store(record), [], []
        self.proxies = []

    async def start(self, daemons, runners, run_s, routes, with_proxies=False, **runner_options):
        await self.store.start()
        self.publish(1, routes)
        for index in range(runners):
            options = {k: v(index) for k, v in runner_options.items()}
            runner = Runner(f"i-{index:04x}", "balcao", self.store, self.record, run_s, **options)
            if with_proxies:
                self.proxies.append(await OrderProxy(runner, self.record).start())
            self.runners.append(await runner.start())
        for index in range(daemons):
            daemon = Daemon(f"edge-z1-{index}", self.store.http.address, self.folder, self.record)
            self.daemons.append(daemon)
            await daemon.start()
        until = time.monotonic() + 15
        while time.monotonic() < until:
            ready = [await daemon.is_ready() for daemon in self.daemons]
            if all(ready) and "auburnsaddle/pub/owner/balcao" in self.store.items:
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the deployment did not become ready")

    def publish(self, version, routes):
        rows = [dict({"kind": "unsafe", "timeout-ms": 3000, "service": "balcao", "priority": 1,
                      "max-attempts": 3, "stretch": 3.0, "target-latency-ms": 2500,
                      "host": "fair.example"}, **route) for route in routes]
        self.store.write("op/config", {"version": version, "routes": rows, "services": [
            {"name": "balcao", "rejects-overload": False}], "limits": {}})

    def owner(self):
        value = base64.b64decode(self.store.items["auburnsaddle/pub/owner/balcao"]["value"])
        return next(d for d in self.daemons if value.endswith(d.name.encode()))

    async def request(self, daemon, method, path, body=None, deadline_ms=3000):
        self.record(f"client -> {daemon.name}: {method} {path}"
                    + (f" {json.dumps(body)}" if body else ""))
        try:
            status, answer = await call(daemon.front, method, path, body, "fair.example", deadline_ms)
        except OSError:
            status, answer = 0, None
        self.record(f"client <- {daemon.name}: {method} {path}: {status or 'no answer'} {answer or ''}")
        return status, answer

    def runs(self):
        return [run for runner in self.runners for run in runner.runs]

    async def end(self):
        for daemon in self.daemons:
            await daemon.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case):
    """Runs `case(deployment, record, trouble)`, which returns whether the rule held."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")

    async def main():
        # A case that is terminated ends its daemons, too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(deployment, record, trouble), 110)
        finally:
            await deployment.end()

    try:
        held = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
