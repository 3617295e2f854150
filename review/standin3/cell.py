"""Stand-ins of the platform for the cases of this review: store, workers and callers.

One process plays the platform on loopback addresses and starts the project's daemon as separate
processes. Only the standard library is used.
"""

import asyncio
import base64
import bisect
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
STARTED = time.monotonic()


def elapsed():
    return time.monotonic() - STARTED


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def write(self, text):
        self.file.write(f"{elapsed():8.3f} {text}\n")


class Drop(Exception):
    """Raised by a handler that closes the connection without a response."""


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return method, target, headers, body


class Server:
    """HTTP/1.1 server on a free port. `handle` returns a status and a JSON value or None."""

    def __init__(self, handle):
        self.handle = handle
        self.connections = set()
        self.server = None
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 23)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def stop(self):
        """Closes the port and resets all connections, as when the process behind it crashes."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                status, value = await self.handle(*request)
                body = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (Drop, asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The stand-in ends.
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 1 << 20

    def __init__(self):
        self.items = {}
        self.keys = []
        self.history = []
        self.revision = 100
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()
        self.expiry = asyncio.create_task(self.expire())
        return self

    def _put(self, key, value, lease):
        known = self.items.get(key)
        if known is None:
            bisect.insort(self.keys, key)
        created = known["created"] if known else self.revision
        self.items[key] = {
            "key": key, "value": value, "revision": self.revision, "created": created, "lease": lease,
        }
        self.history.append((self.revision, key, self.items[key]))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            del self.keys[bisect.bisect_left(self.keys, key)]
            self.history.append((self.revision, key, None))

    async def _wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        """Writes an item as the operator or a worker."""
        self.revision += 1
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
        await self._wake()

    async def remove(self, key):
        self.revision += 1
        self._remove(key)
        await self._wake()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, until) in self.leases.items() if until <= now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            await self._wake()

    def prefixed(self, prefix, after):
        index = bisect.bisect_left(self.keys, prefix)
        if after:
            index = max(index, bisect.bisect_right(self.keys, after))
        while index < len(self.keys) and self.keys[index].startswith(prefix):
            yield self.items[self.keys[index]]
            index += 1

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.003)
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = parts.path
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at-rev": self.revision}) if item else (404, None)
        if path == "/kv-range":
            items, size, more = [], 0, False
            for item in self.prefixed(query.get("prefix", ""), query.get("after")):
                if len(items) >= self.PAGE_ITEMS or size >= self.PAGE_BYTES:
                    more = True
                    break
                items.append(item)
                size += len(item["value"])
            return 200, {"items": items, "has-more": more, "at-rev": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/kv-lease":
            ttl = max(1000, int(json.loads(body)["ttl-ms"]))
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl-ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, None

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + min(30_000, int(query.get("wait-ms", "0"))) / 1000
        while True:
            start = bisect.bisect_right(self.history, after, key=lambda entry: entry[0])
            events = [
                item if item else {"key": key, "revision": revision, "deleted": True}
                for revision, key, item in self.history[start:]
                if key.startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at-rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, call):
        expected = call.get("expected") or []
        puts, removals = call.get("puts") or [], call.get("remove") or []
        if len(expected) + len(puts) + len(removals) > 32:
            return 400, None
        revision_of = lambda key: self.items[key]["revision"] if key in self.items else 0
        if any(revision_of(row["key"]) != row["revision"] for row in expected):
            items = [self.items[row["key"]] for row in expected if row["key"] in self.items]
            return 412, {"items": items}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in puts):
            return 404, None
        if any(row["key"].startswith(("op/", "servers/")) for row in puts):
            return 403, None
        if puts or removals:
            self.revision += 1
            for row in puts:
                self._put(row["key"], row["value"], row.get("lease", 0))
            for key in removals:
                self._remove(key)
            await self._wake()
        return 200, {"revision": self.revision}


class Worker:
    """A worker that keeps to PROTOCOL.md. `run_time` returns how a run ends: (seconds, how), or
    None for a run that goes on until it is stopped."""

    HEARTBEAT = 1.5
    STOP_TIME = 0.05
    MAX_HOLD_MS = 6_000

    def __init__(self, store, record, name, service, capacity, labels, run_time):
        self.store, self.record = store, record
        self.name, self.service = name, service
        self.capacity, self.labels = capacity, labels
        self.run_time = run_time
        self.starts = []
        self.ends = []
        self.is_up = False
        self.sequence = 0

    def _reset(self):
        self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.finished = []
        self.last_end = 0
        self.highest = {}
        self.sequence = 0
        self.ended = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000)

    async def start(self, port=0):
        self._reset()
        self.server = await Server(self.handle).start(port)
        self.is_up = True
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.lapse())]
        return self

    async def crash(self):
        """Ends at once. The entry in the store remains until it expires."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        for run in list(self.running):
            self._end(run, "lost")
        self.record.write(f"worker {self.name} crashed")
        await self.server.stop()

    async def restart(self):
        port = self.server.port
        await self.start(port)
        self.record.write(f"worker {self.name} is up again, born {self.born}")

    async def beat(self):
        while True:
            self.sequence += 1
            await self.store.put(f"servers/{self.name}", {
                "service": self.service, "address": self.server.address, "zone": "z1",
                "version": "1", "slots": 8, "state": "ready", "cold-left-ms": 0,
                "sequence": self.sequence, "born": self.born, "capacity": self.capacity,
                "labels": self.labels,
            })
            await asyncio.sleep(self.HEARTBEAT)

    async def lapse(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock_ms() > self.lease_ms:
                for run in list(self.running):
                    self._end(run, "lapsed")

    def _end(self, run, how):
        entry = self.running.pop(run, None)
        if entry is None:
            return
        entry["timer"].cancel()
        task, attempt = run
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        self.ends.append((elapsed(), task, attempt, how))
        self.record.write(f"run ends   {task} attempt {attempt} on {self.name}: {how}")
        if how != "lost":
            self.last_end += 1
            self.finished.append([self.last_end, task, attempt, how, ""])
            self.ended.set()
            self.ended = asyncio.Event()

    def _extend(self, deadline_ms):
        now = self.clock_ms()
        self.lease_ms = max(self.lease_ms, min(deadline_ms, now + self.MAX_HOLD_MS))

    async def handle(self, method, target, headers, body):
        if target == "/health":
            return 200, None
        call = json.loads(body)
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, None
        token = call.get("fencing-token", 0)
        if token < self.fence:
            return 409, {"clock-ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        if target == "/run-start":
            return self.start_run(call)
        if target == "/run-stop":
            run = (call["task"], call["attempt"])
            self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
            if run in self.running:
                asyncio.get_running_loop().call_later(self.STOP_TIME, self._end, run, "stopped")
            return 200, {"clock-ms": self.clock_ms()}
        if target == "/pace":
            return 200, {"clock-ms": self.clock_ms()}
        if target == "/hold":
            return await self.hold(call)
        return 404, None

    def start_run(self, call):
        run = (call["task"], call["attempt"])
        answer = {"clock-ms": self.clock_ms()}
        self._extend(call["deadline-ms"])
        if run in self.running:
            return 200, answer
        if call["attempt"] <= self.highest.get(call["task"], 0):
            return 409, {**answer, "reason": "old"}
        if call["deadline-ms"] <= self.clock_ms():
            return 409, {**answer, "reason": "late"}
        self.starts.append((elapsed(), *run))
        self.record.write(f"run starts {run[0]} attempt {run[1]} on {self.name}")
        plan = self.run_time(self, call)
        loop = asyncio.get_running_loop()
        seconds, how = plan if plan else (10**6, "done")
        timer = loop.call_later(seconds, self._end, run, how)
        self.running[run] = {"timer": timer, "since": time.monotonic(),
                             "seconds": seconds if plan else 0.0}
        return 200, answer

    def rows(self):
        now = time.monotonic()
        percent = lambda run: min(99, int((now - run["since"]) * 100 / run["seconds"]))
        return [[task, attempt, "", percent(run) if run["seconds"] else 100]
                for (task, attempt), run in self.running.items()]

    async def hold(self, call):
        seen = call.get("last-seen", 0)
        self.finished = [row for row in self.finished if row[0] > seen]
        if call.get("deadline-ms") is not None:
            self._extend(call["deadline-ms"])
        wait = min(2_000, call.get("wait-ms", 0)) / 1000
        if wait and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        return 200, {
            "born": self.born, "clock-ms": self.clock_ms(), "running": self.rows(),
            "finished": self.finished[:500],
        }


class Advice:
    """The service that knows which workers may run a step. `allows` decides for a step and a
    worker. It handles one call at a time."""

    def __init__(self, allows, decision_ms, per_worker_ms, valid_ms):
        self.allows, self.valid_ms = allows, valid_ms
        self.decision_ms, self.per_worker_ms = decision_ms, per_worker_ms
        self.turns = {}
        self.server = Server(self.handle)

    async def handle(self, method, target, headers, body):
        call = json.loads(body)
        workers = call["workers"]
        async with self.turns.setdefault("all", asyncio.Lock()):
            await asyncio.sleep((self.decision_ms + self.per_worker_ms * len(workers)) / 1000)
        allowed = [[worker, f"t-{call['step']}-{worker}"] for worker in workers
                   if self.allows(call["step"], worker)]
        return 200, {"allowed": allowed, "valid-ms": self.valid_ms}


class Daemon:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, cell, index):
        self.cell = cell
        self.name = f"edge-z1-{index}"
        self.ports = {name: free_port() for name in ("frontend", "readiness", "control-plane")}
        self.metrics = free_port()
        self.settings = os.path.join(cell.folder, f"{self.name}.json")
        self.process = None

    def address(self, name):
        return f"{HOST}:{self.ports[name]}"

    def write_settings(self):
        cell = self.cell
        settings = {
            "node-name": self.name, "role": "daemon", "machine-class": "edge",
            "serves": ["edge", "control"], "ip": HOST, "zone": "z1", "region": "r1",
            "zones": {"z1": "r1"},
            "listen-addrs": {name: self.address(name) for name in self.ports},
            "port-range": [1, 1], "seeds": [], "bootstrap": True, "counts-as-loss": False,
            "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": 260, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry-point": "vip", "heartbeat-ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform",
                          "advice", "upkeep", "sharing"],
            "bounds": {
                "contact-ms": 3000, "ack-timeout-ms": 4000, "drain-ms": 2000, "grace-s": 6,
                "config-apply-ms": 2000, "max-hold-ms": 6000, "stop-grace-ms": 200,
                "gang-wait-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14,
                "status_s": 120, "checkpoint-s": 1, "restore-ms": 600, "lease-ms": 3000,
                **cell.bounds,
            },
            "control-mode": "call",
            "advice": cell.advice.server.address if cell.advice else None,
            "platform": {"address": cell.store.server.address, "form": "kv", "writes-per-s": 400,
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576,
                         "min-ttl-ms": 1000},
            "cloud-api": {"address": f"{HOST}:1", "rate-per-s": 60.0, "duties": [],
                          "duty-per-s": 60.0},
        }
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    async def start(self):
        self.write_settings()
        binary = os.path.join(self.cell.root, "target/release/auburnsaddled")
        log = open(os.path.join(self.cell.folder, f"{self.name}.log"), "ab")
        environment = {
            "AUBURNSADDLE_SETTINGS": self.settings, "PATH": os.environ.get("PATH", ""),
            "HOME": self.cell.folder, "LANG": "C.UTF-8",
        }
        # The deploy file has port 9464; several daemons share this machine, so each has its own.
        self.process = await asyncio.create_subprocess_exec(
            binary, "--metrics-port", str(self.metrics), cwd=self.cell.root, env=environment,
            stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()
        self.cell.record.write(f"daemon {self.name} starts, pid {self.process.pid}")

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def request(self, method, path, body=None, timeout=3.0, host="q.example", port="frontend"):
        """Sends a request on a connection of its own. Returns (status, value); status 0 for none."""
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
            f"X-Deadline-Ms: {int(timeout * 1000)}\r\nContent-Length: {len(data)}\r\n\r\n"
        )

        async def exchange():
            reader, writer = await asyncio.open_connection(HOST, self.ports[port])
            try:
                writer.write(head.encode() + data)
                await writer.drain()
                answer = await reader.readuntil(b"\r\n\r\n")
                lines = answer.decode("latin-1").split("\r\n")
                status = int(lines[0].split(" ")[1])
                length = 0
                for line in lines[1:]:
                    if line.lower().startswith("content-length:"):
                        length = int(line.split(":")[1])
                value = await reader.readexactly(length) if length else b""
                return status, json.loads(value) if value else None
            finally:
                writer.transport.abort()

        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            return 0, None

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def has_ended(self):
        return self.process is not None and self.process.returncode is not None


def route(name, service, prefix, attempts=3, priority=1, stretch=2.0, latency_ms=1000, **more):
    return {"name": name, "host": "q.example", "prefix": prefix, "service": service,
            "priority": priority, "max-attempts": attempts, "stretch": stretch,
            "target-latency-ms": latency_ms, **more}


class Cell:
    """A small deployment: a store, workers and daemons."""

    def __init__(self, here, services, routes):
        self.here = here
        self.root = os.path.abspath(os.path.join(here, "..", ".."))
        self.folder = tempfile.mkdtemp(prefix="auburnsaddle-review-")
        self.record = Record(os.path.join(here, "record.txt"))
        self.services, self.routes = services, routes
        self.workers, self.daemons = [], []
        self.advice = None
        self.bounds = {}

    def owner(self):
        """Returns the daemon that the store names as an owner, if there is one."""
        for key, item in self.store.items.items():
            if "/owner/" in key:
                value = base64.b64decode(item["value"])
                for daemon in self.daemons:
                    if daemon.name.encode() in value:
                        return daemon
        return None

    async def start(self, daemons):
        self.store = await Store().start()
        await self.store.put("op/config", {
            "version": 1, "routes": self.routes,
            "services": [{"name": name, "rejects-overload": False} for name in self.services],
            "limits": {"max-body-bytes": 262144, "header-timeout-ms": 5000},
        })
        for index in range(1, daemons + 1):
            daemon = Daemon(self, index)
            self.daemons.append(daemon)
            await daemon.start()

    async def add_worker(self, name, service, capacity, run_time, labels=("a", "r1-1")):
        worker = Worker(self.store, self.record, name, service, capacity, list(labels), run_time)
        self.workers.append(worker)
        return await worker.start()

    async def ready(self, timeout=20.0):
        """Waits until all daemons are ready. Returns whether they are."""
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            answers = [await daemon.request("GET", "/ready", port="readiness", timeout=1.0)
                       for daemon in self.daemons]
            if all(status == 200 for status, _ in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    async def submit(self, path, job, daemon=0, timeout=3.0):
        """Hands a job in, and repeats that until it has a definite answer. Returns the status."""
        status = 0
        for _ in range(5):
            status, _ = await self.daemons[daemon % len(self.daemons)].request(
                "POST", path, job, timeout)
            self.record.write(f"POST {path} -> {status or 'no answer'}")
            if status not in (0, 502, 503, 504):
                return status
            await asyncio.sleep(1.0)
        return status

    async def state(self, path, daemon=0, timeout=3.0):
        status, value = await self.daemons[daemon % len(self.daemons)].request(
            "GET", path, None, timeout)
        return value["state"] if status == 200 and value else f"status {status}"

    async def stop(self):
        for daemon in self.daemons:
            await daemon.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, here, limit=115.0):
    """Plays a case. Exits with what it returns: 1 if the rule was broken, 0 if it held, 2 if the case
    could not run."""

    async def play():
        cells = []
        try:
            return await asyncio.wait_for(case(here, cells), limit)
        except asyncio.TimeoutError:
            print("the case took too long")
            return 2
        finally:
            for cell in cells:
                await cell.stop()

    binary = os.path.join(here, "..", "..", "target/release/auburnsaddled")
    if not os.path.exists(binary):
        print("target/release/auburnsaddled is missing: build it as the deploy file does")
        sys.exit(2)
    sys.exit(asyncio.run(play()))
