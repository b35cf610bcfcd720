"""Real hatchfork processes on loopback, started with the commands of the deploy file, and stand-ins of the platform.

Settings follow the templates of deploy/ with the values of the site tabel-serve (heartbeat 1200 ms, grace 8 s, one tolerated
loss, the memory limits of the site). Each process has a loopback address of its own.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "bin" / "hatchfork"
HOST = "shift.example"
ZONES = ("esil-hall", "saryarka-hall", "almaty-dist-hall")
MEMORY_MB = {"control": 256, "store": 290, "gateway": 260}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the product."""


def free_ports(addresses, count):
    """Ports that are free at every one of these addresses."""
    found = []
    for port in random.sample(range(20000, 30000), 400):
        sockets = []
        try:
            for address in addresses:
                one = socket.socket()
                sockets.append(one)
                one.bind((address, port))
            found.append(port)
        except OSError:
            pass
        finally:
            for one in sockets:
                one.close()
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, file):
        self.began = time.monotonic()
        self.file = open(file, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Process:
    def __init__(self, role, number, address):
        self.role = role
        self.name = f"{role}-{number}"
        self.address = address
        self.zone = ZONES[number % 3]
        self.child = None
        self.settings = None
        self.log = None


class Fleet:
    """Five control processes, stores and gateways, as in the small sites."""

    def __init__(self, record, stores=3, gateways=2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="hatchfork-review-"))
        base = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}"
        self.processes = [Process("control", n, f"{base}.{n + 1}") for n in range(5)]
        self.processes += [Process("store", n, f"{base}.{n + 11}") for n in range(stores)]
        self.processes += [Process("gateway", n, f"{base}.{n + 21}") for n in range(gateways)]
        self.engine_base = f"{base}."
        addresses = [process.address for process in self.processes]
        self.control_port, self.store_port, self.operators_port, self.callers_port, self.ready_port, self.metrics_port = (
            free_ports(addresses, 6))
        self.controls = [f"{p.address}:{self.operators_port}" for p in self.of("control")]
        self.gateways = [f"{p.address}:{self.callers_port}" for p in self.of("gateway")]
        for process in self.processes:
            self.write_settings(process, first_start=True)

    def of(self, role):
        return [process for process in self.processes if process.role == role]

    def named(self, name):
        return next(process for process in self.processes if process.name == name)

    def write_settings(self, process, first_start):
        seeds = ", ".join(f'"{p.address}:{self.operators_port}"' for p in self.of("control")[:3])
        lines = [f'name = "{process.name}"', f'zone = "{process.zone}"', f'address = "{process.address}"',
                 'dialect = "platform"', f"control_port = {self.control_port}", f"store_port = {self.store_port}",
                 f"seeds = [{seeds}]", "tolerated_losses = 1", "engine_beat_ms = 1200", "grace_s = 8"]
        if process.role == "control":
            lines.append(f'operators = "{process.address}:{self.operators_port}"')
        if process.role == "gateway":
            lines += [f'callers = "{process.address}:{self.callers_port}"',
                      f'readiness = "{process.address}:{self.ready_port}"']
        else:
            lines += [f'data_folder = "{self.folder / "data" / process.name}"',
                      f"first_start = {'true' if first_start else 'false'}"]
        lines += [f'metrics = "{self.metrics_port}/metrics"', f"memory_mb = {MEMORY_MB[process.role]}", "[zones]"]
        lines += [f'{zone} = "astana"' for zone in ZONES]
        process.settings = self.folder / f"{process.name}.toml"
        process.settings.write_text("\n".join(lines) + "\n")
        process.log = self.folder / f"{process.name}.log"

    def start(self, process):
        if not PROGRAM.exists():
            raise CannotRun("target/bin/hatchfork is not built")
        with open(process.log, "ab") as log:
            process.child = subprocess.Popen([str(PROGRAM), process.role, "--settings", str(process.settings)],
                                             cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record(f"process {process.name} started")

    def start_all(self):
        for process in self.processes:
            self.start(process)

    def signal(self, process, number):
        os.kill(process.child.pid, number)
        self.record(f"process {process.name} got {signal.Signals(number).name}")

    def kill(self, process):
        self.signal(process, signal.SIGKILL)
        process.child.wait()

    def restart(self, process):
        self.write_settings(process, first_start=False)
        self.start(process)

    def logged(self, process, event):
        """Lines of the process's log that hold this text."""
        return [line for line in process.log.read_text(errors="replace").splitlines() if event in line]

    def store_leader(self):
        """The store that last said that it leads the store group."""
        best, term = None, -1
        for process in self.of("store"):
            for line in self.logged(process, "event=executor_started"):
                at = int(dict(pair.split("=", 1) for pair in line.split() if "=" in pair)["term"])
                if at > term:
                    best, term = process, at
        return best

    def ended_by_themselves(self):
        return [p.name for p in self.processes if p.child is not None and p.child.poll() not in (None, -9)]

    def stop_all(self):
        for process in self.processes:
            if process.child is not None and process.child.poll() is None:
                process.child.send_signal(signal.SIGKILL)
                process.child.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(address, method, target, body=b"", headers=None, timeout=4.0):
    """One request on a connection of its own; gives status and body."""
    return await asyncio.wait_for(_call(address, method, target, body, headers or {}), timeout)


async def _call(address, method, target, body, headers):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {headers.pop('Host', HOST)}", "Connection: close",
                 f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = {k.lower(): v for k, v in (line.split(": ", 1) for line in head[1:] if line)}
        content = await reader.readexactly(int(fields.get("content-length", 0)))
        return int(head[0].split(" ")[1]), content
    finally:
        writer.close()


def route(prefix, kind, **more):
    return {"Name": f"r-{prefix}", "Host": HOST, "PathPrefix": f"/{prefix}/", "Type": kind, "TimeoutMs": 8000,
            "TargetLatencyMs": 400, "Priority": 2, "Service": "tabel-llm", "MaxAttempts": 3, **more}


def document(version, routes):
    return json.dumps({"Version": version, "Routes": routes,
                       "Services": [{"Name": "tabel-llm", "HealthPath": "/healthz", "MaxConnections": 300, "Protocol": "h1",
                                     "Tls": False}],
                       "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                                  "IdleTimeoutMs": 15000}}).encode()


def batch_route(prefix="gate"):
    return route(prefix, "batch", CompletionTargetMs=20000, RetentionS=60, TimeoutMs=30000)


def new_id():
    return f"{random.getrandbits(64):016x}"


def job_document(items, prefix="gate"):
    """`items`: item id to body."""
    return json.dumps({"Requests": [{"Id": item, "Path": f"/{prefix}/{item}", "Headers": {},
                                     "Body": base64.b64encode(body).decode(), "TokenCount": 200}
                                    for item, body in items.items()]}).encode()


async def until(probe, seconds, what):
    """Repeats the probe until it holds; CannotRun after the time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if await probe():
                return
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    raise CannotRun(f"not within {seconds} s: {what}")


async def put_configuration(fleet, version, routes):
    async def taken():
        status, _ = await call(random.choice(fleet.controls), "PUT", "/v1/config", document(version, routes), timeout=2)
        fleet.record(f"operator PUT /v1/config version {version} -> {status}")
        return status == 200
    await until(taken, 20, "the configuration is acknowledged")


async def until_ready(fleet):
    async def ready():
        for process in fleet.of("gateway"):
            status, _ = await call(f"{process.address}:{fleet.ready_port}", "GET", "/v1/readyz", timeout=1)
            if status != 200:
                return False
        return True
    await until(ready, 20, "all gateways are ready")


class Engine:
    """A sound model engine: registers and beats, checks X-Expect-Instance, streams numbered events, resumes after
    Last-Event-Id, drops a run when its connection closes, drains before a planned end."""

    def __init__(self, fleet, number, version="v1", slots=19, events=40, delay=0.1):
        self.fleet = fleet
        self.record = fleet.record
        self.id = f"i-{new_id()[:8]}"
        self.number = number
        self.version = version
        self.slots = slots
        self.events = events
        self.delay = delay
        self.state = "ready"
        self.sequence = 0
        self.running = 0
        self.runs = []  # (time, request, resumed after)
        self.writers = set()
        self.server = None
        self.beats = None

    async def start(self):
        host = f"{self.fleet.engine_base}{100 + self.number}"
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.beats = asyncio.create_task(self.beat_loop())

    def text_of(self, item, number):
        """Data of one event. Another version of the software writes another text."""
        return f"{item}/{number}@{self.version}"

    async def beat(self):
        self.sequence += 1
        body = json.dumps({"Service": "tabel-llm", "Address": self.address, "Zone": ZONES[self.number % 3],
                           "Version": self.version, "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
                           "Stage": "both", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                           "Sequence": self.sequence}).encode()
        for control in random.sample(self.fleet.controls, len(self.fleet.controls)):
            try:
                status, _ = await call(control, "PUT", f"/v1/instances/{self.id}", body, timeout=1)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
        return False

    async def beat_loop(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.2)

    async def drain_and_end(self, serve_for):
        """Reports draining, keeps serving for this long after the acknowledgement, says that it is gone, and ends."""
        self.state = "draining"
        while not await self.beat():
            await asyncio.sleep(0.2)
        self.record(f"engine {self.id} {self.version} draining acknowledged")
        await asyncio.sleep(serve_for)
        for control in random.sample(self.fleet.controls, len(self.fleet.controls)):
            try:
                status, _ = await call(control, "DELETE", f"/v1/instances/{self.id}", timeout=1)
                if status == 200:
                    break
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
        await self.end()

    async def end(self):
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record(f"engine {self.id} {self.version} ended")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines[1:] if line)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = headers.get("x-attempt-id", "")
        load = f"X-Attempt-Id: {request}\r\nX-Server-Load: {self.running},0,{self.slots}\r\n"
        if headers.get("x-expect-instance", self.id) != self.id:
            return await self.answer(writer, "421 Misdirected Request", load, b"")
        if self.running >= self.slots:
            return await self.answer(writer, "503 Service Unavailable", load + "X-Not-Executed: 1\r\n", b"")
        after = int(headers.get("last-event-id", 0))
        self.runs.append((time.monotonic(), request, after))
        self.record(f"engine {self.id} {self.version} runs {request} after event {after}")
        return await self.stream(writer, reader, request, after, load + f"X-Response-Seal: seal-{request}\r\n", body)

    async def answer(self, writer, status, extra, body):
        writer.write(f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True

    async def stream(self, writer, reader, request, after, extra, body):
        self.running += 1
        sent = after
        try:
            writer.write(f"HTTP/1.1 200 OK\r\n{extra}Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n".encode())
            for number in range(after + 1, self.events + 1):
                await asyncio.sleep(self.delay)
                if writer.is_closing() or reader.at_eof():
                    return False
                event = f"id: {number}\ndata: {self.text_of(request, number)}\n\n".encode()
                writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
                await writer.drain()
                sent = number
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
            self.record(f"engine {self.id} {self.version} ended its run of {request} after event {sent}")
        return True


async def submit(fleet, gateway, job, items, prefix="gate", timeout=4.0):
    status, _ = await call(gateway, "POST", f"/{prefix}/{job}", job_document(items, prefix),
                           {"X-Attempt-Id": job, "X-Time-Remaining-Ms": "4000", "Content-Type": "application/json"}, timeout)
    fleet.record(f"client POST job {job} with {len(items)} items at {gateway} -> {status}")
    return status


async def submit_until_accepted(fleet, job, items):
    async def accepted():
        return await submit(fleet, random.choice(fleet.gateways), job, items) == 202
    await until(accepted, 15, f"job {job} is accepted")


async def read_results(fleet, gateway, job, since=0):
    status, body = await call(gateway, "GET", f"/v1/lots/{job}?SinceRev={since}", timeout=3)
    if status != 200:
        fleet.record(f"client GET job {job} since {since} at {gateway} -> {status}")
        return status, None
    return status, json.loads(body)


def run_case(folder, case, **fleet_options):
    """Runs `case(fleet, trouble)`, which gives the broken rules; exits as the issue asks."""
    random.seed()
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")
    fleet = None

    async def whole():
        return await asyncio.wait_for(case(fleet, trouble), 110)
    try:
        fleet = Fleet(record, **fleet_options)
        fleet.start_all()
        broken = asyncio.run(whole())
        ended = fleet.ended_by_themselves()
        if ended:
            record(f"processes ended by themselves: {ended}")
    except Exception as error:  # an error of the script says nothing about the product
        record(f"could not run: {error!r}")
        print("could not run:", repr(error))
        return 2
    finally:
        if fleet is not None:
            fleet.stop_all()
    for text in broken:
        record(f"BROKEN {text}")
        print("BROKEN", text)
    if not broken:
        record("held")
        print("held")
    return 1 if broken else 0
