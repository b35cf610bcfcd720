#!/usr/bin/env python3
"""Planned stops of gateways cut off requests that an engine was answering: callers that keep their connections sent them
while the gateway was already leaving.

Real processes on loopback; callers keep their connections and use them until they are closed or told to close, new
connections go to gateways that say that they are ready; gateways are stopped and started again. Each request that a
stopping gateway passed on to an engine, or held, has to get a whole answer, unless its own time was over.

    python3 tests/soak/planned_stops.py --scenario offsets|late|turns|pairs|overlapping|waiting|unframed|everything
        [--seed 1] [--seconds 40]   # also releases, releases-unframed, releases-broken, releases-closing

offsets: a kept connection sends at each tenth of a second after the signal. late: the same, with plain requests that take
seconds at their engine, repeatable or not, and submissions of jobs, whose results are read afterwards. turns: one gateway after the other. pairs: two
at once. overlapping: the next one before the last has ended. waiting: engines are full, so that requests wait. unframed: a
share of the engines' answers has no length and ends by a close. everything: overlapping, with stores and control processes
stopped, SIGHUP and configurations beside it. releases: one or two at once, while engines give way one by one to new ones of a
newer version and configurations change timeouts and add routes; callers take up broken resumable streams at another gateway.
releases-unframed: the same, and a share of the answers has no length. releases-broken: engines that leave end with streams in
their middle. releases-closing: answers without a length, of engines that listen no more once they have served on long enough.
"""
import asyncio
import base64
import collections
import json
import random
import signal
import sys
import time
from dataclasses import dataclass, field, replace
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from fleet import Fleet  # noqa: E402
from scenarios import run_scenario  # noqa: E402
from stand_in import HOST, Check, Engine, call, document, eventually, new_id  # noqa: E402
from versioned_engine import SEPARATOR, versions_in  # noqa: E402

GRACE_S = 8.0
LEAST_ACCEPTED_S = 3.0  # a request sent later than this after the signal is never cut off
LAST_SIXTH_S = GRACE_S * 5 / 6  # from here on, an earlier one may be cut off while its engine is at work
AFTER_GRACE_S = 1.0
LOSS_SLACK_S = 0.2
TIMING_SLACK_S = 0.1
READY_INTERVAL_S = 1.0
READY_MISSES = 2
ROUTE_TIMEOUT_S = 6.0
START_S = 1.0  # until a new process holds its signals back
OFFSET_STEP_S = 0.1
SLOW_BODY_S = 0.7  # between the two halves of a body
EVENTS = 10  # of a stream
DRAIN_S = 2.0  # from the acknowledgement that an engine leaves; nothing new may reach it later
LEAVING_S = (2.0, 4.0)  # that it serves on
REST_S = 1.0  # without a new request, before it ends
MOST_TO_END_S = 15.0  # until it has its rest
REPLACE_INTERVAL_S = 1.5
CONFIGURE_INTERVAL_S = 3.0
ROUTE_TIMEOUTS_S = (5.6, 6.0, 7.0)  # in turn, all longer than the longest stream
RELEASE_STOPS = 2  # gateways that stop at the same time at most
MOST_TRIES = 4  # of a caller for one text
READ_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, IndexError)


@dataclass(frozen=True)
class Scenario:
    engines: int
    slots: int
    event_delays: tuple  # seconds between two events of ten, drawn for each request
    callers: int
    at_once: int  # gateways
    interval: float  # seconds from one stop to the next; 0: when the last has ended
    sends_at_offsets: bool = False
    late_kinds: tuple = ("talk", "speech", "safe")  # of requests at offsets
    plain_delays: tuple = (0.0,)  # seconds that a plain request takes at its engine, drawn for each
    body_pauses: tuple = (0.0, SLOW_BODY_S)  # between the two halves of a body, each at every offset
    stops_others: bool = False  # stores and control processes, with SIGHUP and configurations
    unframed_share: float = 0.0  # of the engines' answers: without a length, ended by a close
    has_releases: bool = False  # engines are replaced, configurations change, callers take up broken streams
    closes_first: bool = False  # engines that leave listen no more while they end their streams
    breaks_off: bool = False  # engines that leave end whatever still runs
    kinds: tuple = ("talk", "speech", "safe", "once")  # of requests, other than those at offsets


SCENARIOS = {
    "offsets": Scenario(8, 40, (0.02, 0.3, 0.5), 8, 1, 0, sends_at_offsets=True),
    "late": Scenario(8, 40, (0.02, 0.3, 0.5), 8, 1, 0, sends_at_offsets=True,
                     late_kinds=("talk", "speech", "safe", "once", "once", "batch"), plain_delays=(0.02, 1.0, 2.5, 4.5),
                     body_pauses=(0.0, SLOW_BODY_S, 1.4)),
    "everything": Scenario(8, 12, (0.02, 0.1, 0.3, 0.5), 40, 1, 2.5, stops_others=True),
    "turns": Scenario(8, 12, (0.02, 0.1, 0.3, 0.5), 40, 1, 0),
    "pairs": Scenario(8, 12, (0.02, 0.1, 0.3, 0.5), 40, 2, 0),
    "overlapping": Scenario(8, 12, (0.02, 0.1, 0.3, 0.5), 40, 1, 2.5),
    "waiting": Scenario(2, 6, (0.1, 0.3, 0.5), 40, 1, 0),
    "unframed": Scenario(8, 12, (0.02, 0.1), 40, 1, 0, unframed_share=0.2),
    "releases": Scenario(8, 12, (0.02, 0.1, 0.3, 0.5), 40, 1, 4.0, plain_delays=(0.0, 0.3), has_releases=True,
                         kinds=("talk", "talk", "talk", "speech", "safe", "once")),
}


RELEASES = SCENARIOS["releases"]
SCENARIOS["releases-unframed"] = replace(RELEASES, unframed_share=0.2)
SCENARIOS["releases-closing"] = replace(RELEASES, unframed_share=0.2, closes_first=True, event_delays=(0.1, 0.3, 0.5))
SCENARIOS["releases-broken"] = replace(RELEASES, breaks_off=True, event_delays=(0.1, 0.3, 0.5))


@dataclass
class Text:
    """What a caller wants to read, with one request or, after a break, with several."""

    name: str
    body: bytes
    target: str
    events: list = field(default_factory=list)  # data, in order
    origin: str = ""  # the request that brought the first event
    names_origin: bool = False  # when it goes on


@dataclass
class Try:
    """One request on one connection."""

    request: str
    gateway: int
    kind: str
    sent_at: float = 0.0  # its last byte
    ended_at: float = 0.0
    status: int = 0
    end: str = ""  # whole, or how it broke
    events: int = 0
    number_on_connection: int = 0
    offset: float = -1.0  # after the signal, as it was planned
    item: str = ""  # of a job
    text: Text = None  # of a stream
    content: bytes = b""  # of an answer in chunks
    seal: str = ""


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


@dataclass
class Stop:
    gateway: int
    at: float
    ended_at: float = 0.0
    code: int = 0


@dataclass
class Counts:
    whole: int = 0
    refused: int = 0
    unread: int = 0  # closed before anything of the answer, and never passed on
    excused: int = 0
    resumed: int = 0  # tries that go on after a break
    broken_off: int = 0  # by their engine
    exposed: int = 0  # answers of leaving engines that were under way in a stop
    not_resumed: int = 0  # of those: refused


class PlannedStops:
    """Callers, gateways that are stopped, and checks of one run."""

    def __init__(self, options, folder):
        self.options = options
        self.scenario = SCENARIOS[options.scenario]
        self.random = random.Random(options.seed)
        self.fleet = Fleet(folder, controls=3, stores=3, gateways=4, network=options.network)
        for process in self.fleet.processes.values():
            process.file.write_text(process.file.read_text().replace("grace_s = 4", f"grace_s = {GRACE_S:.0f}"))
        self.check = Check()
        self.engines = [self.engine(number) for number in range(self.scenario.engines)]
        self.serving = list(self.engines)  # without those that leave
        self.prefixes = {"talk": ["talk"]}  # of routes that requests of a kind use, where there are several
        self.timeouts = 0  # configurations that changed them
        self.ready = [True] * len(self.fleet.gateways)
        self.tries = []
        self.stops = []
        self.counts = Counts()
        self.version = 5
        self.signal_sent = asyncio.Event()
        self.stopping = set()  # processes that have been told to, and new ones until they serve
        self.loading = True

    def engine(self, number):
        """Each round of new engines has a newer version."""
        return PacedEngine(number, self.options.engine_port + number, self.fleet.controls, slots=self.scenario.slots,
                           unframed_share=self.scenario.unframed_share, version=f"v{1 + number // self.scenario.engines}")

    async def watch_readiness(self, number):
        """New connections go to a gateway until it has missed two questions."""
        address = self.fleet.gateways[number].replace(":7001", ":7002")
        misses = 0
        while self.loading:
            try:
                status, _, _ = await call(address, "GET", "/v1/readyz", timeout=0.9)
            except READ_ERRORS:
                status = 0
            misses = 0 if status == 200 else misses + 1
            self.ready[number] = misses < READY_MISSES
            await asyncio.sleep(READY_INTERVAL_S)

    async def send_requests(self):
        while self.loading:
            choice = [number for number, ready in enumerate(self.ready) if ready]
            if choice:
                await self.use_connection(self.random.choice(choice))
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    async def use_connection(self, gateway):
        """Sends requests on one connection until it is closed or told to close."""
        host, port = self.fleet.gateways[gateway].split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        try:
            number = 0
            while self.loading and not reader.at_eof() and await self.send_request(gateway, reader, writer, number):
                number += 1
                await asyncio.sleep(self.random.choice((0.0, 0.0, 0.05, 0.3, 1.0)))
        finally:
            writer.close()

    async def take_up(self, text, left):
        """After a break of a resumable stream, its caller asks other gateways to go on after the last event it has."""
        for _ in range(MOST_TRIES):
            await asyncio.sleep(0.02)
            choice = [number for number, ready in enumerate(self.ready) if ready and number != left]
            if not choice:
                continue
            left = self.random.choice(choice)
            host, port = self.fleet.gateways[left].split(":")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                continue
            try:
                one = Try(new_id(), left, "talk", text=text)
                await self.exchange(one, reader, writer, 0.0)
            finally:
                writer.close()
            self.counts.resumed += 1
            self.counts.not_resumed += one.end == "whole" and one.status != 200
            if one.end == "whole":
                return

    async def send_at_offset(self, gateway, offset, pause):
        """A connection that is kept before the signal and used at its offset after it, if it is still open then."""
        host, port = self.fleet.gateways[gateway].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            keeps = await self.send_request(gateway, reader, writer, 0, kind="safe")
            await self.signal_sent.wait()
            await asyncio.sleep(offset)
            if keeps and not reader.at_eof():
                await self.send_request(gateway, reader, writer, 1, pause=pause, offset=offset)
        finally:
            writer.close()

    async def send_request(self, gateway, reader, writer, number, kind=None, pause=0.0, offset=-1.0):
        """One request, its body in two halves with a pause; true if the connection can be used again."""
        kind = kind or self.random.choice(self.scenario.kinds if offset < 0 else self.scenario.late_kinds)
        one = Try(new_id(), gateway, kind, number_on_connection=number, offset=offset)
        keeps = await self.exchange(one, reader, writer, pause)
        if self.scenario.has_releases and kind == "talk" and one.end != "whole":
            one.text.names_origin = self.random.random() < 0.5
            await self.take_up(one.text, gateway)
        return keeps

    async def exchange(self, one, reader, writer, pause):
        body = self.body_of(one)
        target = one.text.target if one.text else f"/{one.kind}/a"
        head = [f"POST {target} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {one.request}",
                f"X-Time-Remaining-Ms: {ROUTE_TIMEOUT_S * 1000:.0f}"]
        if one.text and one.text.events:
            head.append(f"Last-Event-Id: {len(one.text.events)}")
            if one.text.names_origin:
                head.append(f"Resumes: {one.text.origin}")
        in_chunks = self.random.random() < 0.5
        if in_chunks:
            head.append("Transfer-Encoding: chunked")
            body = b"3\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (body[:3], len(body) - 3, body[3:])
        else:
            head.append(f"Content-Length: {len(body)}")
        keeps = False
        self.tries.append(one)
        try:
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body[:4])
            if pause:
                await asyncio.sleep(pause)
            writer.write(body[4:])
            one.sent_at = time.monotonic()
            keeps = await asyncio.wait_for(self.read_answer(one, reader), ROUTE_TIMEOUT_S + 2)
            one.end = "whole"
        except READ_ERRORS as error:
            one.end = type(error).__name__
        one.ended_at = time.monotonic()
        if one.text:
            self.take_events(one)
        return keeps

    def take_events(self, one):
        """The events follow each other and what the caller had, and are of one text and one version."""
        text = one.text
        pieces = one.content.decode().split("\n\n")[:-1] if one.status == 200 else []
        if pieces and not text.events:
            text.origin = one.request
        for piece in pieces:
            fields = dict(line.split(": ", 1) for line in piece.split("\n"))
            self.check.that(fields["id"] == str(len(text.events) + 1),
                            f"{one.request} of gateway-{one.gateway + 1} got event {fields['id']} after event {len(text.events)}")
            self.check.that(fields["data"].startswith(f"{text.name}-{fields['id']}{SEPARATOR}"),
                            f"{one.request} got {fields['data']!r}, which is not its own")
            text.events.append(fields["data"])
        self.check.that(len(versions_in(text.events)) <= 1, f"{one.request} holds events of {versions_in(text.events)}")
        if one.end == "whole" and one.status == 200:
            self.check.that(len(text.events) == EVENTS, f"{one.request} was closed as whole after event {len(text.events)}")

    def body_of(self, one):
        """Names the time that the request takes; a job has one item, which is named in the request. A text that is taken up
        again is asked for with the same body."""
        if one.text:
            return one.text.body
        stream = f"stream={self.random.choice(self.scenario.event_delays)}".encode()
        if one.kind in ("talk", "speech"):
            name = new_id()
            one.text = Text(name, stream + f";{name}".encode(), self.target_of(one.kind))
            return one.text.body
        if one.kind != "batch":
            return f"plain={self.random.choice(self.scenario.plain_delays)}".encode()
        one.item = new_id()
        return json.dumps({"Requests": [{"Id": one.item, "Path": "/batch/1", "Headers": {}, "TokenCount": 20,
                                         "Body": base64.b64encode(stream).decode()}]}).encode()

    def target_of(self, kind):
        prefixes = self.prefixes.get(kind, [kind])
        return f"/{prefixes[0] if len(prefixes) == 1 else self.random.choice(prefixes)}/a"

    async def read_answer(self, one, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        one.status = int(head[0].split(" ")[1])
        fields = {k.lower(): v for k, v in (line.split(": ", 1) for line in head[1:] if line)}
        one.seal = fields.get("x-response-seal", "")
        if fields.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                one.content += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
                one.events += 1
        else:
            await reader.readexactly(int(fields.get("content-length", 0)))
        return fields.get("connection", "").lower() != "close"

    async def stop_and_start(self, gateway):
        process = self.fleet.of_role("gateway")[gateway]
        late = await self.prepare_offsets(gateway) if self.scenario.sends_at_offsets else []
        stop = Stop(gateway, time.monotonic())
        self.stops.append(stop)
        self.stopping.add(process)
        process.send(signal.SIGTERM)
        self.signal_sent.set()
        child = process.child
        while child.poll() is None:
            if time.monotonic() > stop.at + GRACE_S:
                process.send(signal.SIGKILL)
            await asyncio.sleep(0.01)
        stop.ended_at = time.monotonic()
        stop.code = child.returncode
        process.start()
        await asyncio.gather(*late, return_exceptions=True)
        await asyncio.sleep(START_S)
        self.stopping.discard(process)

    async def prepare_offsets(self, gateway):
        self.signal_sent = asyncio.Event()
        offsets = [step * OFFSET_STEP_S for step in range(round(GRACE_S / OFFSET_STEP_S))]
        late = [asyncio.create_task(self.send_at_offset(gateway, offset, pause)) for offset in offsets
                for pause in self.scenario.body_pauses]
        await asyncio.sleep(0.5)
        return late

    async def disturb(self):
        """Stores and control processes are stopped and started in turn; all are told to read their settings again."""
        while self.loading:
            others = self.fleet.of_role("store") + self.fleet.of_role("control")
            process = self.random.choice(others)
            process.send(signal.SIGTERM)
            while process.is_running():
                await asyncio.sleep(0.05)
            process.start()
            await asyncio.sleep(1.0)
            for other in self.fleet.processes.values():
                if other not in self.stopping:
                    other.send(signal.SIGHUP)
            await self.put_configuration()

    async def replace_engines(self):
        """One at a time: the new engine starts, then the old one leaves."""
        leaving = []
        while self.loading:
            new = self.engine(len(self.engines))
            self.engines.append(new)
            await new.start()
            await eventually(self.check, f"{new.id} is registered", new.beat)
            old = self.serving.pop(0)
            self.serving.append(new)
            leaving.append(asyncio.create_task(old.leave(self.check, self.scenario)))
            await asyncio.sleep(REPLACE_INTERVAL_S)
        await asyncio.gather(*leaving)

    async def change_routes(self):
        """Timeouts change, and a resumable route is added and used from then on."""
        while self.loading:
            self.timeouts += 1
            added = f"talk-{self.timeouts}"
            await self.put_configuration(ROUTE_TIMEOUTS_S[self.timeouts % len(ROUTE_TIMEOUTS_S)], added)
            self.prefixes["talk"].append(added)
            await asyncio.sleep(CONFIGURE_INTERVAL_S)

    async def stop_gateways(self):
        end = time.monotonic() + self.options.seconds
        order = list(range(len(self.fleet.gateways)))
        running = []
        while time.monotonic() < end:
            self.random.shuffle(order)
            chosen = order[:self.random.choice((1, 2)) if self.scenario.has_releases else self.scenario.at_once]
            for gateway in chosen:
                if self.scenario.has_releases and len(self.stopping) >= RELEASE_STOPS:
                    break
                if self.ready[gateway] and self.fleet.of_role("gateway")[gateway] not in self.stopping:
                    running.append(asyncio.create_task(self.stop_and_start(gateway)))
                    await asyncio.sleep(0)
            if self.scenario.interval:
                await asyncio.sleep(self.scenario.interval)
                continue
            await asyncio.gather(*running)
            await asyncio.sleep(2.5)
        await asyncio.gather(*running)

    def runs_of(self, request):
        return [engine for engine in self.engines if request in engine.runs]

    def stop_of(self, one):
        for stop in self.stops:
            if stop.gateway == one.gateway and stop.at - 0.001 <= one.ended_at <= stop.at + GRACE_S + AFTER_GRACE_S:
                return stop
        return None

    def is_excused(self, one, stop):
        """The request's own time was over, or its engine was at work in the last sixth of the grace period."""
        if one.ended_at >= one.sent_at + ROUTE_TIMEOUT_S - TIMING_SLACK_S:
            return True
        was_early = one.sent_at <= stop.at + LEAST_ACCEPTED_S
        worked = max((engine.last_work.get(one.request, 0) for engine in self.runs_of(one.request)), default=0)
        return was_early and worked >= stop.at + LAST_SIXTH_S

    def is_broken_off(self, one):
        """The engine that was at work on it last broke it off."""
        runs = self.runs_of(one.request)
        last = max(runs, key=lambda engine: engine.last_work.get(one.request, 0), default=None)
        return last is not None and one.ended_at >= last.broken.get(one.request, float("inf"))

    def is_exposed(self, one):
        """Its gateway was stopping and its engine leaving before it ended."""
        in_stop = any(stop.gateway == one.gateway and one.sent_at < stop.ended_at and stop.at < one.ended_at
                      for stop in self.stops)
        return in_stop and any(engine.leaves_from and engine.leaves_from < one.ended_at for engine in self.runs_of(one.request))

    def name_excused(self, one, reason):
        print(f"not whole, {reason}: {one.kind} {one.request} at gateway-{one.gateway + 1} ({one.end}, status {one.status}, "
              f"{one.events} events, number {one.number_on_connection} on its connection)")

    def judge(self, one):
        self.counts.exposed += self.is_exposed(one)
        if one.end == "whole":
            refused = one.status in (408, 421, 429, 503)
            self.counts.refused += refused
            self.counts.whole += not refused
            if refused:
                ran = self.runs_of(one.item or one.request)
                self.check.that(not ran, f"{one.request} was refused with {one.status}, yet it ran")
            return
        if self.is_broken_off(one):
            self.counts.broken_off += 1
            self.name_excused(one, "its engine broke it off")
            return
        stop = self.stop_of(one)
        if stop is None:
            self.check.that(False, f"{one} ended so far from any stop of its gateway")
            return
        passed_on = bool(self.runs_of(one.request))
        held = one.ended_at - one.sent_at > LOSS_SLACK_S
        if not passed_on and not held:
            self.counts.unread += 1
            self.name_excused(one, "never passed on")
            return
        if self.is_excused(one, stop):
            self.counts.excused += 1
            self.name_excused(one, "its time or the grace period was over")
            return
        self.check.that(False, f"{one.kind} {one.request} at gateway-{one.gateway + 1} ({one.end}, status {one.status}, "
                        f"{one.events} events, number {one.number_on_connection} on its connection): sent "
                        f"{one.sent_at - stop.at:.3f} s after the signal, ended {one.ended_at - stop.at:.3f} s after it, "
                        f"the process at {stop.ended_at - stop.at:.3f} s, passed_on={passed_on}")

    def judge_runs(self):
        """What may not be repeated ran once at most, and a success is signed by its engine."""
        statuses = collections.Counter()
        for one in self.tries:
            statuses[one.kind, one.status if one.end == "whole" else one.end] += 1
            runs = sum(engine.runs[one.request] for engine in self.runs_of(one.request))
            self.check.that(one.kind not in ("once", "speech") or runs <= 1, f"{one.kind} {one.request} ran {runs} times")
            self.check.that(one.end != "whole" or one.status != 200 or one.seal == f"seal-{one.request}",
                            f"{one.kind} {one.request} was answered with the seal {one.seal!r}")
            self.check.that(one.end != "whole" or one.status not in (400, 403, 404),
                            f"{one.kind} {one.request} was answered {one.status} by gateway-{one.gateway + 1}")
        print("answers " + " ".join(f"{kind}:{status}={count}" for (kind, status), count in sorted(statuses.items(), key=str)))
        late = [(engine.id, request) for engine in self.engines for request in engine.late]
        print(f"engines={len(self.engines)} runs_after_drain={len(late)} {late[:10]}")

    async def read_results(self):
        """Each job that was accepted gets done, and its result can be read."""
        for one in self.tries:
            if one.status != 202:
                continue

            async def is_complete():
                _, _, page = await call(self.random.choice(self.fleet.gateways), "GET", f"/v1/lots/{one.request}?SinceRev=0",
                                        timeout=3)
                return [result["State"] for result in json.loads(page)["Results"]] == ["complete"]
            await eventually(self.check, f"job {one.request} of gateway-{one.gateway + 1} is complete", is_complete, seconds=20)

    async def put_configuration(self, timeout=ROUTE_TIMEOUT_S, added=None):
        """Routes whose requests may take longer than a stopping gateway has left; `added` is the prefix of a resumable one."""
        self.version += 1
        changed = json.loads(document(self.version))
        talk = next(route for route in changed["Routes"] if route["Name"] == "r-talk")
        for prefix in [*self.prefixes["talk"][1:], *([added] if added else [])]:
            changed["Routes"].append({**talk, "Name": f"r-{prefix}", "PathPrefix": f"/{prefix}/"})
        for route in changed["Routes"]:
            route["TimeoutMs"] = int(timeout * 1000)

        async def taken():
            status, _, _ = await call(self.random.choice(self.fleet.controls), "PUT", "/v1/config", json.dumps(changed), timeout=2)
            return status == 200
        await eventually(self.check, "the configuration is taken", taken, seconds=10)
        await asyncio.sleep(1)

    async def run(self):
        await self.fleet.form(self.check, self.engines)
        await self.put_configuration()
        watches = [asyncio.create_task(self.watch_readiness(number)) for number in range(len(self.ready))]
        callers = [asyncio.create_task(self.send_requests()) for _ in range(self.scenario.callers)]
        others = [asyncio.create_task(self.disturb())] if self.scenario.stops_others else []
        if self.scenario.has_releases:
            others += [asyncio.create_task(self.replace_engines()), asyncio.create_task(self.change_routes())]
        await asyncio.sleep(2)
        await self.stop_gateways()
        await asyncio.sleep(1)
        self.loading = False
        await asyncio.gather(*watches, *callers, *others)
        await self.read_results()
        for one in self.tries:
            self.judge(one)
        self.judge_runs()
        self.check.that(self.counts.exposed > 0 or not self.scenario.has_releases, "no leaving engine answered in a stop")
        for stop in self.stops:
            self.check.that(stop.code == 0, f"gateway-{stop.gateway + 1} ended with code {stop.code}")
        print(f"tries={len(self.tries)} stops={len(self.stops)} whole={self.counts.whole} refused={self.counts.refused} "
              f"unread={self.counts.unread} excused={self.counts.excused} "
              f"resumed={self.counts.resumed} not_resumed={self.counts.not_resumed} "
              f"broken_off={self.counts.broken_off} exposed={self.counts.exposed}")


if __name__ == "__main__":
    run_scenario(PlannedStops, SCENARIOS, __doc__, prefix="hatchfork-planned-stops-", seconds=40, network="127.0.41",
                 engine_port=9400)
