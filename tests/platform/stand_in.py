#!/usr/bin/env python3
"""Stand-ins for the users' platform on loopback: engines, callers and an operator, in the platform's dialect.

Used by tests/system/platform_*.sh. Every check that fails prints a line that begins with FAILED and gives exit code 1.
Engines count what they ran, so that a refusal that promised "not run" and a second run can be seen.
"""
import asyncio
import base64
import json
import random
import sys
import time

HOST = "shift.example"


class Engine:
    """A model engine: serves requests one by one on each connection, streams numbered events, and sends beats."""

    def __init__(self, number, port, controls, service="llm", slots=8, event_delay=0.01):
        self.id = f"i-{number:04x}"
        self.port = port
        self.controls = controls
        self.service = service
        self.slots = slots
        self.event_delay = event_delay
        self.runs = {}  # request -> how often it began to run
        self.resumed_after = {}  # request -> the events after which it went on
        self.told_deadlines = {}  # request -> when each run began, the deadline it was told (seconds), its target
        self.finished = {}
        self.tenants = {}  # request -> the tenant it was named with
        self.prompts = {}  # request -> the parts of its prompt
        self.running = 0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.refused = 0  # requests meant for another engine
        self.writers = set()
        self.break_after = None  # events after which streams are cut
        self.lost_share = 0.0  # of answers: the connection is cut, a stream in its middle
        self.random = random.Random(number)
        self.mute = False
        self.refuse = False
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.beats = asyncio.create_task(self.beat_loop())

    def entry(self, **fields):
        """What the engine says of itself; `fields` differ."""
        return {"Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": "z1", "Version": "v1",
                "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "Sequence": self.sequence, "born": self.born,
                "UnknownField": [1], **fields}

    async def stop(self):
        """Ends without a word."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def start_again(self, port):
        """A new life under the same identifier, which knows nothing of the one before."""
        self.port = port
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = {}
        await self.start()

    async def beat(self):
        self.sequence += 1
        body = json.dumps(self.entry())
        for control in random.sample(self.controls, len(self.controls)):
            try:
                status, _, _ = await call(control, "PUT", f"/v1/instances/{self.id}", body, timeout=2)
                if status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
        return False

    async def beat_loop(self):
        # A cancellation that meets the end of a call is lost in `wait_for`; it is counted all the same.
        while not asyncio.current_task().cancelling():
            await self.beat()
            await asyncio.sleep(0.4)

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
        method, target, _ = lines[0].split(" ")
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines[1:] if line)}
        if await self.answers_early(target, headers, writer):
            return False
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request = headers.get("x-attempt-id", "")
        if self.mute:
            await asyncio.sleep(60)
        extra = f"X-Attempt-Id: {request}\r\nX-Server-Load: {self.running},0,{self.slots}\r\n"
        if headers.get("x-expect-instance") != self.id:
            self.refused += 1
            return await self.answer(writer, "421 Misdirected Request", extra, b"")
        if self.refuse or self.running >= self.slots + 4:
            return await self.answer(writer, "503 Service Unavailable", extra + "X-Not-Executed: 1\r\n", b"")
        self.runs[request] = self.runs.get(request, 0) + 1
        now = time.monotonic()
        deadline = now + int(headers.get("x-time-remaining-ms", 0)) / 1000
        self.told_deadlines.setdefault(request, []).append((now, deadline, target))
        self.tenants[request] = headers.get("x-tenant")
        self.prompts[request] = headers.get("x-prompt-prefix")
        await self.begin_run(request, target, body, writer)
        if "key-" in headers.get("authorization", ""):
            print(f"FAILED: request {request} came with its caller's API key")
        if "X-Time-Remaining-Ms".lower() not in headers:
            print(f"FAILED: request {request} came without its remaining time")
        extra += f"X-Response-Seal: seal-{request}\r\n"
        if b"impossible" in body:
            return await self.answer(writer, "422 Unprocessable", extra, b"")
        if b"failing" in body:
            return await self.answer(writer, "500 Internal", extra, b"")
        if b"stream" not in body and self.random.random() < self.lost_share:
            writer.transport.abort()
            return False
        if b"stream" not in body:
            return await self.answer(writer, "200 OK", extra, b"echo:" + body)
        named = headers.get("last-event-id", "0")
        return await self.stream(writer, request, body, int(named) if named.isdigit() else 0, extra)

    async def stream(self, writer, request, body, after, extra):
        """Answers with the events that follow event `after`; true if the connection can be used again."""
        first = after + 1
        break_after = self.break_after
        if break_after is None and self.random.random() < self.lost_share:
            break_after = self.random.randrange(first - 1, 12)
        self.resumed_after.setdefault(request, []).append(after)
        self.running += 1
        try:
            writer.write(f"HTTP/1.1 200 OK\r\n{extra}Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n".encode())
            for number in range(first, 11):
                await asyncio.sleep(self.event_delay)
                event = f"id: {number}\ndata: {request}-{number}\n\n".encode()
                if break_after is not None and number > break_after:
                    writer.write(b"%x\r\n" % len(event) + event[:9])
                    await writer.drain()
                    writer.transport.abort()
                    return False
                writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.finished[request] = self.finished.get(request, 0) + 1
        finally:
            self.running -= 1
        return True

    async def answers_early(self, target, headers, writer):
        """True if the engine has answered before it read the body, and does not go on with this connection."""
        return False

    async def begin_run(self, request, target, body, writer):
        """Called when a run begins; engines of special kinds do what they do there."""

    async def answer(self, writer, status, extra, body):
        writer.write(f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return True


async def read_head(reader):
    """The status of an answer and its header fields, by name in small letters."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    return int(head[0].split(" ")[1]), {k.lower(): v for k, v in (line.split(": ", 1) for line in head[1:] if line)}


def length_of(status, fields):
    """Of the body, as its head names it. A body that ends with its connection may have been broken off: not a gateway's."""
    if status in (204, 304):
        return 0
    if "content-length" not in fields:
        raise ValueError(f"the answer {status} has no length: {fields}")
    return int(fields["content-length"])


async def call(address, method, target, body=b"", headers=None, timeout=8, source=None):
    """One request on a connection of its own, from the loopback address `source`. Gives status, headers and the whole body."""
    if isinstance(body, str):
        body = body.encode()
    return await asyncio.wait_for(_call(address, method, target, body, headers or {}, source), timeout)


async def _call(address, method, target, body, headers, source):
    host, port = address.split(":")
    local = None if source is None else (source, 0)
    reader, writer = await asyncio.open_connection(host, int(port), local_addr=local)
    try:
        lines = [f"{method} {target} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}"]
        if "Host" not in headers:
            lines.append(f"Host: {HOST}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        status, fields = await read_head(reader)
        if fields.get("transfer-encoding") == "chunked":
            content = b""
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return status, fields, content
                content += piece[:-2]
        content = await reader.readexactly(length_of(status, fields))
        return status, fields, content
    finally:
        writer.close()


def document(version, extra_routes=(), tenants=()):
    def route(prefix, kind, **more):
        return {"Name": f"r-{prefix}", "Host": HOST, "PathPrefix": f"/{prefix}/", "Type": kind, "TimeoutMs": 4000,
                "TargetLatencyMs": 400, "Priority": 0, "Service": "llm", "MaxAttempts": 2, **more}
    routes = [route("safe", "safe"), route("once", "unsafe"), route("talk", "streaming", AllowResume=True),
              route("speech", "streaming", AllowResume=False, MaxAttempts=1),
              route("batch", "batch", CompletionTargetMs=20000, RetentionS=60, MaxAttempts=3), *extra_routes]
    return json.dumps({"Version": version, "Routes": routes,
                       "Services": [{"Name": "llm", "HealthPath": "/healthz", "MaxConnections": 200}],
                       "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutMs": 1500,
                                  "IdleTimeoutMs": 5000},
                       "Tenants": list(tenants)})


class Check:
    """Counts what failed."""

    def __init__(self):
        self.failed = 0

    def that(self, holds, text):
        if not holds:
            self.failed += 1
            print(f"FAILED: {text}", flush=True)


async def eventually(check, text, probe, seconds=15):
    """Asks again until the probe holds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if await probe():
                return True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    check.that(False, text)
    return False


def new_id():
    return f"{random.getrandbits(64):016x}"


def request_headers(request=None, remaining=4000, key=None):
    headers = {"X-Attempt-Id": request or new_id(), "X-Time-Remaining-Ms": str(remaining)}
    if key is not None:
        headers["Authorization"] = f"Bearer {key}"
    return headers
