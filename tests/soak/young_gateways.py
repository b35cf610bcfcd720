#!/usr/bin/env python3
"""A gateway that has just started knows nothing: no configuration, engines, paces, builds, streams, limits or crashes. From the
moment at which it says that it is ready, it has to serve what gateways that have run for long serve.

Real processes on loopback; engines are sound and have room. Gateways are stopped by SIGTERM and started again, two of them in
turn and two at once; two are never stopped. Callers open new connections to a gateway as soon as its readiness answers 200 and
until it is told to stop. No request may be cut, failed or refused by a gateway in its first ten seconds, nor by any other one.
What was not served is sent once more, as it was, to a gateway that is never stopped. Printed: what came of all requests, by the
age of the process when they were sent.

    python3 tests/soak/young_gateways.py --scenario young|builds|unframed|half-close|eager [--seed 1]
        [--seconds 30]

young: all engines are of one build; streams that are taken up name the request that began them, or do not. builds: engines of
two builds, where streams that are taken up name it. unframed: half of the engines' streams have no length and end by a clean
close. half-close: half of the callers end their sending side after the last request of their connection; a trial: what came of
these requests is counted apart, and not checked. eager: callers come as soon as the gateway listens; what comes before it is
ready may be refused, and is counted apart.
"""
import asyncio
import base64
import json
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from fleet import Fleet  # noqa: E402
from gateway_lives import AGES, EVENTS, Life, SoundEngine, Try, age_name  # noqa: E402
from scenarios import run_scenario  # noqa: E402
from stand_in import HOST, Check, call, document, eventually, length_of, new_id, read_head  # noqa: E402

SCENARIOS = ("young", "builds", "unframed", "half-close", "eager")
UNFRAMED_SHARE = 0.5  # of the engines' streams
ENGINES = 8
SLOTS = 60
EVENT_DELAYS = (0.0, 0.01, 0.05, 0.12)  # seconds, drawn for each stream
PLAIN_DELAYS = (0.0, 0.0, 0.05, 0.5)
CALLERS = 7  # at each gateway
GATEWAYS_IN_TURN = (0, 1)
GATEWAYS_AT_ONCE = (2, 3)
GATEWAYS_KEPT = (4, 5)
LIVES_S = (1.5, 4.0, 10.5)  # from ready to the next signal, drawn for each life
KEPT_AGE_S = 20.0  # of the gateways that are never stopped, before what they serve is compared
READY_WITHIN_S = 10.0
LEAST_SENT = 300  # requests at each of the first three ages, and at gateways that are never stopped
READY_POLL_S = 0.005
TIMEOUT_S = 4.0
LIMIT = 2000  # requests a second of the tenant with a limit, far above what it sends
KEY_WITH_LIMIT = "key-of-a"
KEY = "key-of-b"
KINDS = ("talk", "talk", "speech", "safe", "once", "batch", "taken up", "taken up", "limited talk", "limited safe")
READ_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, IndexError)


class YoungGateways:
    """Callers, gateways that are started again, and checks of one run."""

    def __init__(self, options, folder):
        self.options = options
        self.random = random.Random(options.seed)
        self.has_two_builds = options.scenario == "builds"
        self.fleet = Fleet(folder, controls=3, stores=3, gateways=6, network=options.network)
        self.check = Check()
        self.engines = [SoundEngine(number, options.engine_port + number, self.fleet.controls, slots=SLOTS,
                                    version="v2" if self.has_two_builds and number % 2 else "v1",
                                    unframed_share=UNFRAMED_SHARE if options.scenario == "unframed" else 0.0)
                        for number in range(ENGINES)]
        self.is_eager = options.scenario == "eager"
        self.lives = []
        self.current = [None] * len(self.fleet.gateways)
        self.tries = []
        self.loading = True
        self.stopping = False

    def ready_gateways(self):
        return [number for number, life in enumerate(self.current) if life is not None and life.ready_at]

    async def is_ready(self, gateway):
        try:
            status, _, _ = await call(self.fleet.gateways[gateway].replace(":7001", ":7002"), "GET", "/v1/readyz", timeout=0.5)
        except READ_ERRORS:
            return False
        return status == 200

    async def send_requests(self, gateway):
        """A caller that begins a connection as soon as the gateway is ready, and none once the gateway is told to stop."""
        while self.loading:
            life = self.current[gateway]
            if life is None or not (life.ready_at or self.is_eager):
                await asyncio.sleep(READY_POLL_S)
                continue
            await self.use_connection(life)
            await asyncio.sleep(self.random.choice((0.0, 0.0, 0.02, 0.1)))

    async def use_connection(self, life):
        """Sends one to three requests on one new connection; it may end its sending side after the last one."""
        tries = [await self.new_try(life) for _ in range(self.random.choice((1, 1, 2, 3)))]
        if self.options.scenario == "half-close":
            tries[-1].half_closes = self.random.random() < 0.5
        if self.current[life.gateway] is not life:  # the part of a stream that is taken up took its time
            return
        host, port = self.fleet.gateways[life.gateway].split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            self.check.that(life.told_at < time.monotonic() or not life.ready_at,
                            f"gateway-{life.gateway + 1} is ready and takes no connection: {error!r}")
            return
        try:
            for one in tries:
                if not await self.send(one, reader, writer) or life.told_at < time.monotonic():
                    return
        finally:
            writer.close()

    async def new_try(self, life):
        kind = self.random.choice(KINDS)
        one = Try(new_id(), kind, life, False, b"")
        if one.path in ("talk", "speech"):
            one.body = f"stream={self.random.choice(EVENT_DELAYS)} {one.request}".encode()
        elif one.path == "batch":
            one.item = new_id()
            one.body = json.dumps({"Requests": [{"Id": one.item, "Path": "/batch/1", "Headers": {}, "TokenCount": 20,
                                                 "Body": base64.b64encode(b"stream=0 ").decode()}]}).encode()
        else:
            one.body = f"plain={self.random.choice(PLAIN_DELAYS)} {one.request}".encode()
        if kind == "taken up":
            await self.read_first_part(one)
        return one

    async def read_first_part(self, one):
        """Another gateway gives the first events of the stream; its caller leaves in the middle and names what it has."""
        others = [number for number in self.ready_gateways() if number != one.life.gateway]
        if not others:
            return
        one.first_gateway = self.random.choice(others)
        leaves_after = self.random.randint(1, EVENTS - 1)
        host, port = self.fleet.gateways[one.first_gateway].split(":")
        first = Try(new_id(), "talk", self.current[one.first_gateway], False, one.body)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            one.first_gateway = -1
            return
        first.sent_at = time.monotonic()
        try:
            writer.write(self.bytes_of(first))
            await asyncio.wait_for(self.read_answer(first, reader, leaves_after), TIMEOUT_S + 2)
        except READ_ERRORS as error:
            first.error = repr(error)
        finally:
            writer.transport.abort()
        first.ended_at = time.monotonic()
        if len(first.events) < leaves_after:  # what it did not get is judged as any other request
            self.tries.append(first)
            first.whole = not first.error
            await self.compare(first)
        one.after = len(first.events)
        names_origin = self.has_two_builds or self.random.random() < 0.5
        one.origin = first.request if names_origin and one.after else ""

    @staticmethod
    def bytes_of(one):
        key = KEY_WITH_LIMIT if one.kind.startswith("limited") else KEY
        lines = [f"POST /{one.path}/a HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {one.request}",
                 f"X-Time-Remaining-Ms: {TIMEOUT_S * 1000:.0f}", f"Authorization: Bearer {key}",
                 f"Content-Length: {len(one.body)}"]
        if one.after:
            lines.append(f"Last-Event-Id: {one.after}")
        if one.origin:
            lines.append(f"Resumes: {one.origin}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + one.body

    async def send(self, one, reader, writer):
        """True if the connection can be used again."""
        self.tries.append(one)
        keeps = False
        one.sent_at = time.monotonic()
        try:
            writer.write(self.bytes_of(one))
            if one.half_closes:
                writer.write_eof()
            keeps = await asyncio.wait_for(self.read_answer(one, reader), TIMEOUT_S + 2)
            one.whole = True
        except READ_ERRORS as error:
            one.error = repr(error)
        one.ended_at = time.monotonic()
        if one.outcome() != "served" and not one.half_closes:
            await self.compare(one)
        return keeps

    async def compare(self, one):
        """The same request, at a gateway that is never stopped."""
        kept = self.current[self.random.choice(GATEWAYS_KEPT)]
        again = Try(new_id(), one.kind, kept, False, one.body, one.after, one.origin)
        host, port = self.fleet.gateways[kept.gateway].split(":")
        again.sent_at = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(self.bytes_of(again))
                await asyncio.wait_for(self.read_answer(again, reader), TIMEOUT_S + 2)
                again.whole = True
            finally:
                writer.close()
        except READ_ERRORS as error:
            again.error = repr(error)
        one.answer += f"; the same at gateway-{kept.gateway + 1} of {again.age:.1f} s as {again.request}: {again.outcome()}"

    async def read_answer(self, one, reader, leaves_after=None):
        one.status, fields = await read_head(reader)
        if fields.get("transfer-encoding") == "chunked":
            held = b""
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                *events, held = (held + piece[:-2]).split(b"\n\n")
                one.events += [int(event.split(b"\n")[0].split(b" ")[1]) for event in events]
                if leaves_after is not None and len(one.events) >= leaves_after:
                    del one.events[leaves_after:]
                    return False
        else:
            content = await reader.readexactly(length_of(one.status, fields))
            if one.status >= 400:
                one.answer = content.decode(errors="replace")[:200]
        return fields.get("connection", "").lower() != "close"

    async def begin_life(self, gateway):
        process = self.fleet.of_role("gateway")[gateway]
        life = Life(gateway, time.monotonic())
        process.start()
        self.lives.append(life)
        if self.is_eager:
            self.current[gateway] = life
        while not await self.is_ready(gateway) and time.monotonic() < life.started_at + READY_WITHIN_S:
            await asyncio.sleep(READY_POLL_S)
        life.ready_at = time.monotonic()
        self.check.that(life.ready_at < life.started_at + READY_WITHIN_S, f"{process.name} is not ready in time")
        self.current[gateway] = life

    async def end_life(self, gateway):
        process = self.fleet.of_role("gateway")[gateway]
        life, self.current[gateway] = self.current[gateway], None
        life.told_at = time.monotonic()
        child = process.child
        process.send(signal.SIGTERM)
        while child.poll() is None:
            await asyncio.sleep(0.01)
        life.code = child.returncode

    async def stop_and_start(self, gateways, first_wait):
        """These are told to stop at once, and each is started again as soon as it has ended."""
        await asyncio.sleep(first_wait)

        async def renew(gateway):
            await self.end_life(gateway)
            await self.begin_life(gateway)
        while not self.stopping:
            await asyncio.gather(*(renew(gateway) for gateway in gateways))
            await asyncio.sleep(self.random.choice(LIVES_S))

    async def put_tenants(self):
        """One tenant has a limit that it does not reach, the other one has none."""
        tenants = [{"Name": "a", "ApiKeys": [KEY_WITH_LIMIT], "Priority": 0, "RatePerS": LIMIT, "Burst": LIMIT},
                   {"Name": "b", "ApiKeys": [KEY], "Priority": 0, "RatePerS": 0, "Burst": 0}]

        async def taken():
            status, _, _ = await call(self.fleet.controls[0], "PUT", "/v1/config", document(6, tenants=tenants), timeout=2)
            return status == 200
        await eventually(self.check, "the configuration with tenants is taken", taken, seconds=10)
        await asyncio.sleep(2)

    async def read_results(self):
        """Each job that a gateway has accepted gets done."""
        async def read_result(one, address):
            async def is_complete():
                _, _, page = await call(address, "GET", f"/v1/lots/{one.request}?SinceRev=0",
                                        headers={"Authorization": f"Bearer {KEY}"}, timeout=3)
                return [result["State"] for result in json.loads(page)["Results"]] == ["complete"]
            await eventually(self.check, f"job {one.request} of gateway-{one.life.gateway + 1} is complete", is_complete)
        accepted = [one for one in self.tries if one.kind == "batch" and one.status == 202]
        at_once = 20
        for first in range(0, len(accepted), at_once):
            await asyncio.gather(*(read_result(one, self.fleet.gateways[self.random.choice(GATEWAYS_KEPT)])
                                   for one in accepted[first:first + at_once]))

    def judge(self, one):
        """Requests that were sent after the signal may be refused: the stop is judged by planned_stops.py. So may those of
        callers that did not wait until the gateway was ready."""
        outcome = one.outcome()
        may_be_refused = one.sent_at >= one.life.told_at or one.sent_at < one.life.ready_at
        if one.half_closes or outcome == "served" or (may_be_refused and outcome == "refused"):
            return
        first = f" first part by gateway-{one.first_gateway + 1}" if one.first_gateway >= 0 else ""
        self.check.that(False, f"{one.kind} {one.request}{first} at gateway-{one.life.gateway + 1} at the age of {one.age:.3f} s "
                        f"({one.sent_at - one.life.ready_at:.3f} s after it was ready, told to stop "
                        f"{one.life.told_at - one.sent_at:.3f} s later): {outcome}, status {one.status}, "
                        f"{len(one.events)} events after event {one.after}, {one.error} after "
                        f"{one.ended_at - one.sent_at:.3f} s {one.answer}")

    def print_counts(self):
        counts = Counter()
        for one in self.tries:
            who = age_name(one.age)
            if one.sent_at < one.life.ready_at:
                who = "before ready"
            if one.sent_at >= one.life.told_at:
                who = "after signal"
            if one.half_closes:
                who = "half-closed"
            counts[who, one.kind, one.outcome()] += 1
            counts[who, "all", one.outcome()] += 1
        outcomes = ("served", "refused", "failed", "cut")
        for who in [name for _, name in AGES] + ["before ready", "after signal", "half-closed"]:
            for kind in ("all", *dict.fromkeys(KINDS)):
                row = [counts[who, kind, outcome] for outcome in outcomes]
                if sum(row):
                    print(f"{who:12} {kind:12} " + " ".join(f"{name}={count}" for name, count in zip(outcomes, row)), flush=True)

    def check_load(self, young):
        """The counts say something only if many requests were sent at each age, also to gateways that are old."""
        for name in ("0-1 s", "1-3 s", "3-10 s"):
            sent = sum(age_name(one.age) == name and one.life in young and not one.half_closes for one in self.tries)
            self.check.that(sent >= LEAST_SENT, f"only {sent} requests at the age {name}")
        old = sum(one.age > KEPT_AGE_S and one.life.gateway in GATEWAYS_KEPT for one in self.tries)
        self.check.that(old >= LEAST_SENT, f"only {old} requests at gateways older than {KEPT_AGE_S:.0f} s")

    async def run(self):
        formed_at = time.monotonic()
        await self.fleet.form(self.check, self.engines)
        await self.put_tenants()
        for gateway in range(len(self.current)):
            self.current[gateway] = Life(gateway, formed_at, ready_at=time.monotonic())
            self.lives.append(self.current[gateway])
        first_lives = list(self.lives)
        callers = [asyncio.create_task(self.send_requests(gateway)) for gateway in range(len(self.current))
                   for _ in range(CALLERS)]
        stops = [asyncio.create_task(self.stop_and_start([GATEWAYS_IN_TURN[0]], 1.0)),
                 asyncio.create_task(self.stop_and_start([GATEWAYS_IN_TURN[1]], 4.0)),
                 asyncio.create_task(self.stop_and_start(GATEWAYS_AT_ONCE, 2.5))]
        await asyncio.sleep(self.options.seconds)
        self.stopping = True
        await asyncio.gather(*stops)
        self.loading = False
        await asyncio.gather(*callers)
        await self.read_results()
        for one in self.tries:
            self.judge(one)
        young = [life for life in self.lives if life not in first_lives]
        for life in self.lives:
            self.check.that(life.code == 0, f"gateway-{life.gateway + 1} ended with code {life.code}")
        self.check_load(young)
        until_ready = sorted(life.ready_at - life.started_at for life in young)
        print(f"tries={len(self.tries)} lives={len(young)} until_ready={until_ready[0]:.3f}..{until_ready[-1]:.3f} s", flush=True)
        self.print_counts()


if __name__ == "__main__":
    run_scenario(YoungGateways, SCENARIOS, __doc__, prefix="young-gateways-", seconds=30, network="127.0.81", engine_port=10100)
