#!/usr/bin/env python3
"""Streams and items held text of two versions of an engine's software, which does not fit together: whatever engine was free
went on with a broken text, in one answer, over a caller's tries, and from run to run of an item.

Real processes on loopback; engines of two versions that break a share of their streams; callers that go on by themselves at
any gateway after a break, naming in `Resumes` the request that brought the first event.

    python3 tests/soak/engine_versions.py --scenario mixed|uneven|rolling|gateways|stores|overlapping|all|one-version|items|items-rolling|items-overlapping|cut|rejoined
        [--seed 1] [--seconds 8]

cut: all engines give way to a new version at once while a gateway is cut off from the others. rejoined: all gateways are
killed at once around such a change.
"""
import asyncio
import base64
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from breaking_engine import EVENTS  # noqa: E402
from fleet import Fleet  # noqa: E402
from relay import Relay  # noqa: E402
from resuming_caller import StreamReader  # noqa: E402
from scenarios import run_scenario  # noqa: E402
from stand_in import Check, call, eventually, new_id, request_headers  # noqa: E402
from versioned_engine import VersionedEngine, versions_in  # noqa: E402

ENGINES = 8
CALLERS = 10
MANY_CALLERS = 40
BREAKS = 0.3  # share of the engines' streams
PLACES = ("head", "inside", "between")
OLD, NEW = "v1", "v2"
MOST_TRIES = 8  # of a caller for one text
# Of the streams that callers take up again while two engines of their version serve, those that go on, against the share
# of new streams that begin.
LEAST_GOING_ON = 0.95
LEAST_AFTER_ALL = 0.5  # the same where all processes are killed at once, and all records with them
LEAST_COUNTED = 12  # streams taken up again, for that share
TOLD_WITHIN = 0.5  # seconds until a caller hears that its stream can't go on
METRICS_PORT = 7003  # of gateways
COSTS = ("hatchfork_streams_begun_total", "hatchfork_stream_records_sent_total", "hatchfork_stream_questions_total")
ITEM_JOBS = 3
ITEMS = 25  # of a job
EVENT_DELAY = {"items-overlapping": 0.8}  # seconds between two events, where runs have to outlast several leaders
KILL_INTERVAL_S = 1.2
RELAYED_CONTROL_PORT, RELAYED_STORE_PORT = 7760, 7761  # of the gateway that is cut off
CUT_S = 2.5
OLD_SERVE_S = 2.5  # engines that leave serve on
ROUND_S = 4.5
# Engines of the new version at first, and what happens meanwhile.
SCENARIOS = {"mixed": (4, None), "uneven": (2, None), "rolling": (0, "replace_engines"), "gateways": (4, "kill_gateways"),
             "stores": (4, "kill_stores"), "overlapping": (2, "kill_and_replace"), "all": (4, "kill_all"),
             "one-version": (0, None), "items": (4, "kill_stores"),
             "cut": (0, "replace_all_at_a_cut"), "rejoined": (0, "replace_all_and_kill_gateways"),
             "items-rolling": (0, "replace_engines"), "items-overlapping": (0, "replace_and_kill_leaders")}


class EngineVersions:
    """Callers, engines and checks of one run."""

    def __init__(self, options, folder):
        self.options = options
        self.random = random.Random(options.seed)
        self.fleet = Fleet(folder, controls=5, stores=5, gateways=3, network=options.network)
        for gateway in self.fleet.of_role("gateway"):
            gateway.file.write_text(gateway.file.read_text() + f'metrics = "{METRICS_PORT}/metrics"\n')
        self.check = Check()
        self.asked = {}
        new = SCENARIOS[options.scenario][0]
        self.engines = [self.engine(number, NEW if number < new else OLD) for number in range(ENGINES)]
        self.begun = [0, 0]  # new streams: those that began, all
        self.taken_up = [0, 0]  # streams taken up again while two engines of their version serve: those that go on, all
        self.resumed = 0  # requests that asked to go on
        self.texts = 0
        self.two_versions = 0
        self.loading = True
        self.relay = None

    def engine(self, number, version):
        return VersionedEngine(number, self.options.engine_port + number, self.fleet.controls, self.asked, PLACES, BREAKS,
                               version, event_delay=EVENT_DELAY.get(self.options.scenario, 0.01))

    def serving(self, version):
        return sum(1 for engine in self.engines if engine.version == version and engine.state == "ready")

    async def read_texts(self):
        while self.loading:
            await self.read_text(f"stream-{new_id()}")
            self.texts += 1

    def choose_gateway(self, is_taken_up):
        """Where a gateway is cut off, streams begin at the others, and are taken up there."""
        if self.relay is None:
            return self.random.choice(self.fleet.gateways)
        return self.fleet.gateways[0] if is_taken_up else self.random.choice(self.fleet.gateways[1:])

    async def read_text(self, text):
        """Goes on after each break until the answer is closed as whole, or the caller is told that it can't go on."""
        events, origin = [], None
        for _ in range(MOST_TRIES):
            request = new_id()
            headers = request_headers(request)
            version = events[0].rsplit("@", 1)[1] if events else None
            served_before = self.serving(version) if events else 0
            if events:
                self.resumed += 1
                headers.update({"Last-Event-Id": str(len(events)), "Resumes": origin})
            reader = StreamReader()
            await reader.read(self.choose_gateway(is_taken_up=bool(events)), "/talk/a", text.encode(), headers)
            if not events:
                self.count(self.begun, reader)
            elif min(served_before, self.serving(version)) >= 2:
                self.count(self.taken_up, reader)
            if events and reader.status == 503:
                self.check.that(reader.head_after < TOLD_WITHIN,
                                f"{request} was told after {reader.head_after:.2f} s that its stream can't go on")
                return
            if not events and reader.events:
                origin = request
            self.take_events(request, text, events, reader)
            if reader.status == 200 and reader.is_whole:
                self.check.that(len(events) == EVENTS, f"{request} was closed as whole after event {len(events)}")
                return
            await asyncio.sleep(0.02)

    @staticmethod
    def count(shares, reader):
        """What a gateway that is down does not answer says nothing; what an engine breaks again has gone on."""
        if reader.status != 0:
            shares[0] += reader.status == 200
            shares[1] += 1

    def take_events(self, request, text, events, reader):
        for number, data in reader.events:
            self.check.that(number == len(events) + 1, f"{request} got event {number} after event {len(events)}")
            self.check.that(data.startswith(f"{text}-{number}@"), f"{request} got {data!r}, which is not its own")
            events.append(data)
        if reader.events and len(versions_in(events)) > 1:
            self.two_versions += 1
            self.check.that(False, f"{request} holds events of {versions_in(events)}")

    async def replace_engines(self, started):
        """One by one: the new engine starts, then the old one says that it leaves, serves on for a while and ends."""
        for number in range(ENGINES):
            await asyncio.sleep(self.options.seconds / (ENGINES + 3))
            old = self.engines[number]
            if old.version == NEW:
                continue
            new = self.engine(ENGINES + number, NEW)
            await new.start()
            self.engines.append(new)
            print(f"{time.monotonic() - started:6.2f} s  {old.id} of {OLD} gives way to {new.id} of {NEW}", flush=True)
            old.state = "draining"
            await old.beat()
            await asyncio.sleep(0.5)
            await old.stop()

    async def set_up_relay(self):
        """The first gateway reaches control processes and stores through a relay."""
        self.relay = Relay()
        for process in self.fleet.processes.values():
            if process.role in ("control", "store"):
                address = next(line for line in process.file.read_text().splitlines() if line.startswith("address")).split('"')[1]
                await self.relay.listen(address, RELAYED_CONTROL_PORT, 7660)
                await self.relay.listen(address, RELAYED_STORE_PORT, 7661)
        gateway = self.fleet.of_role("gateway")[0]
        settings = gateway.file.read_text()
        settings = settings.replace("control_port = 7660", f"control_port = {RELAYED_CONTROL_PORT}")
        settings = settings.replace("store_port = 7661", f"store_port = {RELAYED_STORE_PORT}")
        gateway.file.write_text(settings)

    async def replace_all(self, version):
        """Engines of a version take the place of all others at once; those say that they leave, and serve on for a while."""
        old = [engine for engine in self.engines if engine.state == "ready"]
        new = [self.engine(len(self.engines) + number, version) for number in range(ENGINES)]
        await asyncio.gather(*(engine.start() for engine in new))
        await asyncio.gather(*(engine.beat() for engine in new))
        self.engines += new
        for engine in old:
            engine.state = "draining"
        await asyncio.gather(*(engine.beat() for engine in old))
        return old

    async def end_engines(self, engines):
        await asyncio.sleep(OLD_SERVE_S)
        for engine in engines:
            await engine.stop()

    async def replace_all_at_a_cut(self, started):
        """Once: for a minute after it the service counts as one of several versions."""
        await asyncio.sleep(1)
        self.relay.fall_silent()
        print(f"{time.monotonic() - started:6.2f} s  gateway-1 is cut off, {NEW} comes", flush=True)
        old = await self.replace_all(NEW)
        await asyncio.gather(self.end_engines(old), asyncio.sleep(CUT_S))
        self.relay.go_on()

    async def replace_all_and_kill_gateways(self, started):
        number = 1
        while time.monotonic() < started + self.options.seconds - ROUND_S:
            number += 1
            await asyncio.sleep(1)
            print(f"{time.monotonic() - started:6.2f} s  v{number} comes, all gateways are killed", flush=True)
            replaced = asyncio.create_task(self.replace_all(f"v{number}"))
            await asyncio.sleep(self.random.choice((0.0, 0.1, 0.5, 1.0)))
            for process in self.fleet.of_role("gateway"):
                process.kill()
            old = await replaced
            await self.end_engines(old[:ENGINES // 2])
            for process in self.fleet.of_role("gateway"):
                process.start()
            for engine in old[ENGINES // 2:]:
                await engine.stop()

    async def kill_some(self, started, role):
        while time.monotonic() < started + self.options.seconds - 3:
            await asyncio.sleep(0.8)
            process = self.random.choice(self.fleet.of_role(role))
            print(f"{time.monotonic() - started:6.2f} s  kill {process.name}", flush=True)
            process.kill()
            await asyncio.sleep(0.3)
            process.start()

    async def kill_gateways(self, started):
        await self.kill_some(started, "gateway")

    async def kill_stores(self, started):
        await self.kill_some(started, "store")

    async def kill_and_replace(self, started):
        """Engines are replaced while gateways and stores are killed, in series that overlap."""
        await asyncio.gather(self.replace_engines(started), self.kill_gateways(started), self.kill_stores(started))

    async def replace_and_kill_leaders(self, started):
        """Texts of engines that are gone are dropped, and their items begin anew, under leaders that are lost soon after."""
        await self.replace_engines(started)
        for store in self.fleet.of_role("store"):
            await asyncio.sleep(KILL_INTERVAL_S)
            print(f"{time.monotonic() - started:6.2f} s  kill {store.name}", flush=True)
            store.kill()
            store.start()

    async def kill_all(self, started):
        await asyncio.sleep(self.options.seconds / 2)
        print(f"{time.monotonic() - started:6.2f} s  kill all", flush=True)
        for process in self.fleet.processes.values():
            process.kill()
        self.fleet.start_all()

    async def submit(self, job, items):
        requests = [{"Id": item, "Path": f"/batch/{item}", "Headers": {"X-Model": "m", "X-Token-Usage": "10,10"},
                     "Body": base64.b64encode(b"stream").decode(), "TokenCount": 20} for item in items]

        async def accepted():
            status, _, _ = await call(self.random.choice(self.fleet.gateways), "POST", "/batch/new",
                                      json.dumps({"Requests": requests}),
                                      {"X-Attempt-Id": job, "Content-Type": "application/json"}, timeout=4)
            return status == 202
        await eventually(self.check, f"job {job} is accepted", accepted)

    async def check_items(self):
        """Each item's text has every event once, written by one version."""
        jobs = {new_id(): [new_id() for _ in range(ITEMS)] for _ in range(ITEM_JOBS)}
        for job, items in jobs.items():
            await self.submit(job, items)
            await asyncio.sleep(self.options.seconds / 4)
        for job, items in jobs.items():
            async def finished():
                status, _, page = await call(self.random.choice(self.fleet.gateways), "GET", f"/v1/lots/{job}?SinceRev=0")
                self.results = json.loads(page)["Results"] if status == 200 else []
                return len(self.results) == len(items)
            await eventually(self.check, f"job {job} is finished", finished, seconds=40)
            for result in self.results:
                self.check_text(result["Id"], result["Text"].split("\n"))

    def check_text(self, item, lines):
        self.texts += 1
        numbers = [line.rsplit("@", 1)[0].rsplit("-", 1)[1] for line in lines]
        self.check.that(numbers == [str(number) for number in range(1, EVENTS + 1)], f"item {item} has events {numbers}")
        if len(versions_in(lines)) > 1:
            self.two_versions += 1
            self.check.that(False, f"item {item} holds events of {versions_in(lines)}")

    async def check_ill_named(self):
        """A resume that does not name its own stream is refused at once, and no engine runs it."""
        first = new_id()
        await StreamReader().read(self.fleet.gateways[0], "/talk/a", b"stream-other", request_headers(first))
        for named in (None, "", "nonsense", new_id(), first, "x" * 4000):
            request = new_id()
            headers = {**request_headers(request), "Last-Event-Id": "3"}
            if named is not None:
                headers["Resumes"] = named
            reader = StreamReader()
            await reader.read(self.fleet.gateways[1], "/talk/a", b"stream-mine", headers)
            shown = None if named is None else named[:16]
            self.check.that(reader.status == 503 and b'"executed":"no"' in reader.body,
                            f"Resumes {shown!r} is answered {reader.status} {reader.body[:120]!r}")
            self.check.that(request not in self.asked, f"Resumes {shown!r} reached an engine")
            self.check.that(reader.status == 0 or reader.head_after < TOLD_WITHIN,
                            f"Resumes {shown!r} is answered after {reader.head_after} s")
        request = new_id()
        await StreamReader().read(self.fleet.gateways[1], "/talk/a", b"stream-mine", {**request_headers(request), "Resumes": first})
        self.check.that(request in self.asked, "a stream from its beginning did not reach an engine")

    async def costs(self):
        """What all gateways have counted since their starts."""
        sums = dict.fromkeys(COSTS, 0)
        for gateway in self.fleet.gateways:
            _, _, page = await call(gateway.replace(":7001", f":{METRICS_PORT}"), "GET", "/metrics")
            for line in page.decode().splitlines():
                name, _, value = line.partition(" ")
                if name in sums:
                    sums[name] += int(float(value))
        return [sums[name] for name in COSTS]

    async def check_costs(self):
        begun, records, questions = await self.costs()
        if self.options.scenario == "one-version":
            self.check.that(begun > 0 and records == 0 and questions <= self.resumed,
                            f"with one version, {begun} streams cost {records} records, {self.resumed} resumes {questions} questions")
        print(f"streams_begun={begun} records_sent={records} questions={questions}")

    def check_shares(self):
        begun, new = self.begun
        going_on, taken_up = self.taken_up
        if taken_up < LEAST_COUNTED or new == 0 or self.options.scenario == "cut":
            return
        share = going_on / taken_up
        least = LEAST_AFTER_ALL if self.options.scenario == "all" else LEAST_GOING_ON
        self.check.that(share >= least * begun / new,
                        f"{going_on} of {taken_up} streams taken up again go on, {begun} of {new} new ones begin")

    async def run(self):
        if self.options.scenario == "cut":
            await self.set_up_relay()
        await self.fleet.form(self.check, self.engines)
        if self.options.scenario == "mixed":
            await self.check_ill_named()
        started = time.monotonic()
        event = SCENARIOS[self.options.scenario][1]
        work = [asyncio.create_task(getattr(self, event)(started))] if event else []
        if self.options.scenario.startswith("items"):
            await self.check_items()
        else:
            callers = MANY_CALLERS if self.options.scenario == "cut" else CALLERS
            work += [asyncio.create_task(self.read_texts()) for _ in range(callers)]
            await asyncio.sleep(self.options.seconds)
            self.loading = False
        await asyncio.gather(*work)
        await self.check_costs()
        if self.relay:
            await self.relay.close()
        self.check_shares()
        print(f"texts={self.texts} of_two_versions={self.two_versions} begun={self.begun[0]}/{self.begun[1]} "
              f"taken_up_and_gone_on={self.taken_up[0]}/{self.taken_up[1]}")


if __name__ == "__main__":
    run_scenario(EngineVersions, SCENARIOS, __doc__, prefix="engine-versions-", seconds=8, network="127.0.13",
                 engine_port=9300)
