"""Engines whose requests name the time that they take, and which leave as planned while they are at work."""
import asyncio
import time

from stand_in import Engine, call, eventually
from versioned_engine import SEPARATOR

EVENTS = 10  # of a stream
DRAIN_S = 2.0  # from the acknowledgement that an engine leaves; nothing new may reach it later
LEAVING_S = (2.0, 4.0)  # that it serves on
REST_S = 1.0  # without a new request, before it ends
MOST_TO_END_S = 15.0  # until it has its rest


class PacedEngine(Engine):
    """The request names the pause between its events. A share of the answers has no length and ends by a close."""

    def __init__(self, *arguments, unframed_share=0.0, version="v1", **named):
        super().__init__(*arguments, **named)
        self.unframed_share = unframed_share
        self.version = version
        self.last_begun = 0.0
        self.left_at = None  # when it was acknowledged that it leaves
        self.leaves_from = None  # when it said so first
        self.at_work = set()  # requests
        self.broken = {}  # request -> when the engine broke it off
        self.late = []  # requests that came later than they may after that
        self.last_work = {}  # request -> when an engine was at work on it last

    def entry(self, **fields):
        return super().entry(Version=self.version, **fields)

    async def begin_run(self, request, target, body, writer):
        self.last_begun = time.monotonic()
        if self.left_at is not None and self.last_begun > self.left_at + DRAIN_S:
            self.late.append(request)
        if body.startswith(b"plain="):
            self.at_work.add(request)
            await asyncio.sleep(float(body.decode().split("=")[1]))
            self.at_work.discard(request)
            self.note_work(request)

    def note_work(self, request):
        if request not in self.broken:
            self.last_work[request] = time.monotonic()

    async def stream(self, writer, request, body, after, extra):
        self.event_delay = 0.0
        delay, _, text = body.decode().split("=")[1].partition(";")
        delay = float(delay)
        is_framed = self.random.random() >= self.unframed_share
        keeps = is_framed and self.state == "ready"
        framing = "\r\n".join(["Transfer-Encoding: chunked"] * is_framed + ["Connection: close"] * (not keeps))
        self.running += 1
        self.at_work.add(request)
        try:
            writer.write(f"HTTP/1.1 200 OK\r\n{extra}Content-Type: text/event-stream\r\n{framing}\r\n\r\n".encode())
            for number in range(after + 1, EVENTS + 1):
                self.note_work(request)
                await asyncio.sleep(delay)
                event = f"id: {number}\ndata: {text or request}-{number}{SEPARATOR}{self.version}\n\n".encode()
                writer.write(b"%x\r\n" % len(event) + event + b"\r\n" if is_framed else event)
                await writer.drain()
            if is_framed:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            self.finished[request] = self.finished.get(request, 0) + 1
        finally:
            self.note_work(request)
            self.at_work.discard(request)
            self.running -= 1
        return keeps

    async def answer(self, writer, status, extra, body):
        if self.state == "ready":
            return await super().answer(writer, status, extra, body)
        await super().answer(writer, status, extra + "Connection: close\r\n", body)
        return False

    async def leave(self, check, scenario):
        """A planned end: says that it leaves, serves on, ends its streams or breaks them off, signs off and ends."""
        self.state = "draining"
        self.leaves_from = time.monotonic()
        while not await self.beat():
            await asyncio.sleep(0.1)
        self.left_at = time.monotonic()
        await asyncio.sleep(self.random.uniform(*LEAVING_S))
        if scenario.closes_first:
            self.server.close()
        while not scenario.breaks_off and (self.at_work or time.monotonic() < self.last_begun + REST_S):
            if time.monotonic() > self.left_at + MOST_TO_END_S:
                check.that(False, f"{self.id} still gets requests {MOST_TO_END_S} s after it was acknowledged that it leaves")
                break
            await asyncio.sleep(0.05)
        self.beats.cancel()

        async def is_signed_off():
            status, _, _ = await call(self.random.choice(self.controls), "DELETE", f"/v1/instances/{self.id}", timeout=2)
            return status == 200
        await eventually(check, f"{self.id} is signed off", is_signed_off, seconds=10)
        check.that(scenario.breaks_off or not self.at_work, f"{self.id} ends while it is at work on {self.at_work}")
        self.broken = dict.fromkeys(self.at_work, time.monotonic())
        await self.stop()
