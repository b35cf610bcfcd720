#!/usr/bin/env python3
"""Planned stops of gateways cut off requests that an engine was answering: callers that keep their connections sent them
while the gateway was already leaving.

Real processes on loopback; callers keep their connections and use them until they are closed or told to close, new
connections go to gateways that say that they are ready; gateways are stopped and started again. Each request that a
stopping gateway passed on to an engine, or held, has to get a whole answer, unless its own time was over.

    python3 tests/soak/planned_stops.py --scenario offsets|late|bodies|turns|pairs|overlapping|waiting|unframed|everything
        [--seed 1] [--seconds 40]   # also releases, releases-unframed, releases-broken, releases-closing

offsets: a kept connection sends at each tenth of a second after the signal. late: the same, with plain requests that take
seconds at their engine, repeatable or not, and submissions of jobs, whose results are read afterwards.
bodies: requests that begin while connections are open, and whose last byte comes at each tenth of a second up to the end of
the grace period; some callers wait for a second only. turns: one gateway after the other. pairs: two
at once. overlapping: the next one before the last has ended. waiting: engines are full, so that requests wait. unframed: a
share of the engines' answers has no length and ends by a close. everything: overlapping, with stores and control processes
stopped, SIGHUP and configurations beside it. releases: one or two at once, while engines give way one by one to new ones of a
newer version and configurations change timeouts and add routes; callers take up broken resumable streams at another gateway.
releases-unframed: the same, and a share of the answers has no length. releases-broken: engines that leave end with streams in
their middle. releases-closing: answers without a length, of engines that listen no more once they have served on long enough.
"""
import asyncio
import base64
import json
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from fleet import Fleet  # noqa: E402
from paced_engine import EVENTS, PacedEngine  # noqa: E402
from scenarios import run_scenario  # noqa: E402
from stand_in import HOST, Check, call, document, eventually, length_of, new_id, read_head  # noqa: E402
from stop_judge import GRACE_S, Stop, StopJudge, Text, Try  # noqa: E402
from stop_scenarios import ROUTE_TIMEOUT_S, SCENARIOS  # noqa: E402
from versioned_engine import SEPARATOR, versions_in  # noqa: E402

READY_INTERVAL_S = 1.0
READY_MISSES = 2
START_S = 1.0  # until a new process holds its signals back
OFFSET_STEP_S = 0.1
LAST_BEGIN_S = 3.0  # kept connections are closed soon after it
REPLACE_INTERVAL_S = 1.5
CONFIGURE_INTERVAL_S = 3.0
ROUTE_TIMEOUTS_S = (5.6, 6.0, 7.0)  # in turn, all longer than the longest stream
RELEASE_STOPS = 2  # gateways that stop at the same time at most
MOST_TRIES = 4  # of a caller for one text
READ_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, IndexError)


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
        self.judge = StopJudge(self.check, self.engines)
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
            self.judge.counts.resumed += 1
            self.judge.counts.not_resumed += one.end == "whole" and one.status != 200
            if one.end == "whole":
                return

    async def send_at_offset(self, gateway, offset, pause):
        """A connection that is kept before the signal and used at its offset after it, if it is still open then."""
        begin = min(offset, LAST_BEGIN_S) if self.scenario.ends_bodies_at_offsets else offset
        pause += offset - begin
        host, port = self.fleet.gateways[gateway].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            keeps = await self.send_request(gateway, reader, writer, 0, kind="safe")
            await self.signal_sent.wait()
            await asyncio.sleep(begin)
            if keeps and not reader.at_eof():
                await self.send_request(gateway, reader, writer, 1, pause=pause, offset=offset)
        finally:
            writer.close()

    async def send_request(self, gateway, reader, writer, number, kind=None, pause=0.0, offset=-1.0):
        """One request, its body in two halves with a pause; true if the connection can be used again."""
        kind = kind or self.random.choice(self.scenario.kinds if offset < 0 else self.scenario.late_kinds)
        one = Try(new_id(), gateway, kind, number_on_connection=number, offset=offset)
        if offset >= 0:
            one.remaining_s = self.random.choice(self.scenario.remaining_s)
        keeps = await self.exchange(one, reader, writer, pause)
        if self.scenario.has_releases and kind == "talk" and one.end != "whole":
            one.text.names_origin = self.random.random() < 0.5
            await self.take_up(one.text, gateway)
        return keeps

    async def exchange(self, one, reader, writer, pause):
        body = self.body_of(one)
        target = one.text.target if one.text else f"/{one.kind}/a"
        head = [f"POST {target} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {one.request}",
                f"X-Time-Remaining-Ms: {one.remaining_s * 1000:.0f}"]
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
        self.judge.tries.append(one)
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
        one.status, fields = await read_head(reader)
        one.seal = fields.get("x-response-seal", "")
        if fields.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                one.content += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
                one.events += 1
        else:
            await reader.readexactly(length_of(one.status, fields))
        return fields.get("connection", "").lower() != "close"

    async def stop_and_start(self, gateway):
        process = self.fleet.of_role("gateway")[gateway]
        late = await self.prepare_offsets(gateway) if self.scenario.sends_at_offsets else []
        stop = Stop(gateway, time.monotonic())
        self.judge.stops.append(stop)
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

    async def read_results(self):
        """Each job that was accepted gets done, and its result can be read."""
        for one in self.judge.tries:
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
        changed["Limits"]["HeaderTimeoutMs"] = int(self.scenario.header_timeout_s * 1000)

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
        self.judge.judge_all()
        self.check.that(self.judge.counts.exposed > 0 or not self.scenario.has_releases, "no leaving engine answered in a stop")


if __name__ == "__main__":
    run_scenario(PlannedStops, SCENARIOS, __doc__, prefix="hatchfork-planned-stops-", seconds=40, network="127.0.41",
                 engine_port=9400)
