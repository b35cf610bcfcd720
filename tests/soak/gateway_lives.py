"""Requests at gateways by the age of their process, and engines that never break."""
import asyncio
from dataclasses import dataclass, field

from stand_in import Engine

EVENTS = 10  # of a stream
AGES = ((1.0, "0-1 s"), (3.0, "1-3 s"), (10.0, "3-10 s"), (float("inf"), "older"))
REFUSALS = (408, 421, 429, 503)


class SoundEngine(Engine):
    """Never breaks; the request names the pause before its answer or between its events."""

    def __init__(self, *arguments, version="v1", unframed_share=0.0, **named):
        super().__init__(*arguments, **named)
        self.version = version
        self.unframed_share = unframed_share

    def entry(self, **fields):
        return super().entry(Version=self.version, **fields)

    async def begin_run(self, request, target, body, writer):
        if body.startswith(b"plain="):
            await asyncio.sleep(float(body.decode().split("=")[1].split(" ")[0]))

    async def stream(self, writer, request, body, after, extra):
        self.event_delay = delay = float(body.decode().split("=")[1].split(" ")[0])
        if self.random.random() >= self.unframed_share:
            return await super().stream(writer, request, body, after, extra)
        self.running += 1
        try:
            writer.write(f"HTTP/1.1 200 OK\r\n{extra}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n".encode())
            for number in range(after + 1, EVENTS + 1):
                await asyncio.sleep(delay)
                writer.write(f"id: {number}\ndata: {request}-{number}\n\n".encode())
                await writer.drain()
        finally:
            self.running -= 1
        return False


@dataclass
class Life:
    """One process of a gateway. A new one is `young`; those of the fleet's start are not counted before they are old."""

    gateway: int
    started_at: float
    ready_at: float = 0.0
    told_at: float = float("inf")
    code: int = 0


@dataclass
class Try:
    """One request: what it asked for, and what came of it."""

    request: str
    kind: str
    life: Life
    half_closes: bool
    body: bytes
    after: int = 0  # the event that the caller has
    origin: str = ""  # the request that began the stream
    first_gateway: int = -1
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    error: str = ""
    answer: str = ""
    events: list = field(default_factory=list)
    item: str = ""

    @property
    def path(self):
        return {"taken up": "talk"}.get(self.kind, self.kind.split(" ")[-1])

    @property
    def age(self):
        return self.sent_at - self.life.started_at

    def outcome(self):
        if not self.whole:
            return "cut"
        if self.status in REFUSALS:
            return "refused"
        if self.status >= 400:
            return "failed"
        is_stream = self.path in ("talk", "speech")
        return "cut" if is_stream and self.events != list(range(self.after + 1, EVENTS + 1)) else "served"


def age_name(age):
    return next(name for most, name in AGES if age < most)
