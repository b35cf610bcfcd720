#!/usr/bin/env python3
"""An engine answered with bytes that are no answer and have no end, in a head or in a body. Items stayed at it for as long as
it went on, the memory of a store grew by 15 to 66 MB in a minute, and online requests waited there until their deadline
although other engines had room.

Real processes on loopback, three engines of four slots: one of them (or all, for a while) sends such bytes.

    python3 tests/soak/endless_answers.py --scenario head|head-line|head-bytes|interim|surplus|event|comments|repeated|length|body|unframed|every|all|flood
        [--seed 1]

every: one kind after the other, fast and slowly. all: all engines, for a while. flood: all engines send them to many requests at
once, at one gateway of 160 MB, where other clients ask another service and some read slowly.
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
from endless_engine import KINDS, EndlessEngine  # noqa: E402
from fleet import Fleet  # noqa: E402
from scenarios import run_scenario  # noqa: E402
from stand_in import HOST, Check, Engine, call, document, eventually, new_id, request_headers  # noqa: E402

SCENARIOS = (*KINDS, "every", "all", "flood")
ENGINES, SLOTS = 3, 4
KIND_S = 8.0  # time for which an engine sends one kind
FINISH_S = 18.0
ITEMS = 12
MOST_GROWTH_KB = 24 * 1024  # of any process
CLOSED_S = 3.5  # a run without a further event is at its engine no longer than this
FLOOD_CALLERS = 60
FLOOD_SLOTS = 100
FLOOD_KINDS = ("length", "body", "unframed", "event", "head-line")
SLOW_CALLERS = 20  # of a stream; they read nothing
GATEWAY_MB = 160
OTHER_SERVICE = "app"
LEAST_SERVED = 0.99  # of the requests that may be repeated, while two engines are sound
CALL_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError)


def memory_kb(process):
    for line in Path(f"/proc/{process.child.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


class EndlessAnswers:
    """The fleet, its engines, callers and jobs."""

    def __init__(self, options, folder):
        self.options = options
        self.random = random.Random(options.seed)
        self.fleet = Fleet(folder, controls=3, stores=3, gateways=2, network=options.network)
        self.check = Check()
        self.floods = options.scenario == "flood"
        slots = FLOOD_SLOTS if self.floods else SLOTS
        self.engines = [EndlessEngine(number, options.engine_port + number, self.fleet.controls, slots=slots,
                                      event_delay=0.02) for number in range(ENGINES)]
        self.others = [Engine(ENGINES, options.engine_port + ENGINES, self.fleet.controls, service=OTHER_SERVICE)]
        for process in self.fleet.of_role("gateway") if self.floods else []:
            process.file.write_text(process.file.read_text() + f"memory_mb = {GATEWAY_MB}\n")
        self.most_kb = 0
        self.served = {"/safe/a": [0, 0], "/talk/a": [0, 0]}
        self.loading = True
        self.counts = True

    async def ask(self, target, body):
        while self.loading:
            await asyncio.sleep(0.1)
            request = new_id()
            counted = self.counts
            is_whole = False
            try:
                status, _, answer = await call(self.random.choice(self.fleet.gateways), "POST", target, body,
                                               request_headers(request), timeout=6)
                wanted = "".join(f"id: {n}\ndata: {request}-{n}\n\n" for n in range(1, 11)).encode()
                is_whole = status == 200 and answer == (wanted if target == "/talk/a" else b"echo:" + body)
                if status == 200 and not is_whole:
                    self.check.that(False, f"{target} got bytes that are not its answer: {answer[:120]!r}")
            except CALL_ERRORS:
                pass
            if counted and self.counts:
                self.served[target][0] += is_whole
                self.served[target][1] += 1

    async def flood(self, target, body):
        """A client whose answers have no end."""
        while self.loading:
            try:
                await call(self.fleet.gateways[0], "POST", target, body, request_headers(new_id()), timeout=6)
            except CALL_ERRORS:
                pass

    async def read_nothing(self):
        host, port = self.fleet.gateways[0].split(":")
        head = "".join(f"{name}: {value}\r\n" for name, value in request_headers().items())
        while self.loading:
            try:
                _, writer = await asyncio.open_connection(host, int(port), limit=1)
                writer.transport.pause_reading()
                writer.write(f"POST /talk/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 6\r\n{head}\r\nstream".encode())
                await asyncio.sleep(2)
                writer.transport.abort()
            except CALL_ERRORS:
                pass

    async def ask_other_service(self):
        while self.loading:
            await asyncio.sleep(0.05)
            try:
                status, _, answer = await call(self.fleet.gateways[0], "POST", "/other/a", b"x", request_headers(new_id()),
                                               timeout=6)
                is_whole = status == 200 and answer == b"echo:x"
            except CALL_ERRORS:
                is_whole = False
            self.served["/other/a"][0] += is_whole
            self.served["/other/a"][1] += 1

    async def watch_memory(self):
        while self.loading:
            self.most_kb = max(self.most_kb, memory_kb(self.fleet.processes["gateway-1"]))
            await asyncio.sleep(0.02)

    async def put_other_route(self):
        changed = json.loads(document(6))
        changed["Routes"].append({**changed["Routes"][0], "Name": "r-other", "PathPrefix": "/other/", "Service": OTHER_SERVICE})
        changed["Services"].append({**changed["Services"][0], "Name": OTHER_SERVICE})

        async def taken():
            status, _, _ = await call(self.fleet.controls[0], "PUT", "/v1/config", json.dumps(changed), timeout=2)
            return status == 200
        await eventually(self.check, "the configuration is taken", taken, seconds=10)

        async def serves():
            status, _, _ = await call(self.fleet.gateways[0], "POST", "/other/a", b"x", request_headers(), timeout=2)
            return status == 200
        await eventually(self.check, "the other service is served", serves, seconds=10)

    async def play_flood(self):
        for engine in self.others:
            await engine.start()
        await self.put_other_route()
        gateway = self.fleet.processes["gateway-1"]
        child = gateway.child.pid
        self.served = {"/other/a": [0, 0]}
        targets = (("/safe/a", b"x"), ("/talk/a", b"stream"))
        work = [asyncio.create_task(self.flood(*targets[number % 2])) for number in range(FLOOD_CALLERS)]
        work += [asyncio.create_task(self.read_nothing()) for _ in range(SLOW_CALLERS)]
        work += [asyncio.create_task(self.ask_other_service()) for _ in range(4)]
        work.append(asyncio.create_task(self.watch_memory()))
        for kind in FLOOD_KINDS:
            for engine in self.engines:
                engine.endless, engine.pause = kind, 0
            await asyncio.sleep(KIND_S)
            print(f"{kind}: gateway at most {self.most_kb // 1024} MB, others {self.served}", flush=True)
        for engine in self.engines:
            engine.endless = None
        self.loading = False
        await asyncio.gather(*work)
        self.check.that(gateway.is_running() and gateway.child.pid == child, "the gateway ended")
        self.check.that(self.most_kb < GATEWAY_MB << 10, f"the gateway grew to {self.most_kb >> 10} MB")
        served, asked = self.served["/other/a"]
        self.check.that(served >= LEAST_SERVED * asked, f"another service: only {served} of {asked} were served")

    async def submit(self):
        items = []
        for _ in range(ITEMS):
            item = new_id()
            items.append({"Id": item, "Path": f"/batch/{item}", "Headers": {"X-Token-Usage": "10,10"},
                          "Body": base64.b64encode(b"stream " + item.encode()).decode(), "TokenCount": 20})
        job = await self.fleet.submit_job(self.check, items, self.random)
        return job, time.monotonic()

    async def check_job(self, job, since):
        async def done():
            status, _, body = await call(self.random.choice(self.fleet.gateways), "GET", f"/v1/lots/{job}?SinceRev=0",
                                         timeout=3)
            results = json.loads(body)["Results"] if status == 200 else []
            return len(results) == ITEMS and all(result["State"] == "complete" for result in results)
        await eventually(self.check, "all items of a job are complete", done, seconds=since + FINISH_S - time.monotonic())

    async def play(self, kind, engines, pause):
        print(f"{kind}, pause {pause} s, {len(engines)} engines", flush=True)
        for engine in engines:
            engine.endless, engine.pause, engine.longest_s = kind, pause, 0.0
        job, since = await self.submit()
        await asyncio.sleep(KIND_S)
        longest = max(engine.longest_s for engine in engines)
        for engine in engines:
            engine.endless = None
        # Those that are still on: their callers close them in time.
        await asyncio.sleep(CLOSED_S)
        still_open = sum(engine.open for engine in engines)
        self.check.that(still_open == 0, f"{kind}: {still_open} connections are still open")
        if len(engines) == ENGINES:
            since = time.monotonic()
        await self.check_job(job, since)
        print(f"  longest on one connection {longest:.1f} s; memory {self.growth()}", flush=True)

    def growth(self):
        return {name: memory_kb(process) - self.memory[name] for name, process in self.fleet.processes.items()
                if memory_kb(process) - self.memory[name] > 4096}

    async def run(self):
        await self.fleet.form(self.check, self.engines)
        if self.floods:
            await self.play_flood()
            return
        work = [asyncio.create_task(self.ask(target, body)) for target, body in (("/safe/a", b"x"), ("/talk/a", b"stream"))
                for _ in range(3)]
        await asyncio.sleep(2)
        self.memory = {name: memory_kb(process) for name, process in self.fleet.processes.items()}
        scenario = self.options.scenario
        if scenario == "all":
            self.counts = False
            for kind in ("interim", "event"):
                await self.play(kind, self.engines, 0.001)
        else:
            for kind in KINDS if scenario == "every" else (scenario,):
                for pause in (0, 0.05):
                    await self.play(kind, self.engines[:1], pause)
        self.loading = False
        await asyncio.gather(*work)
        for name, grown in self.growth().items():
            self.check.that(grown <= MOST_GROWTH_KB, f"{name} has grown by {grown} KB")
        for target, (served, asked) in self.served.items():
            print(f"{target}: {served} of {asked} served")
            self.check.that(served >= LEAST_SERVED * asked, f"{target}: only {served} of {asked} were served")


if __name__ == "__main__":
    run_scenario(EndlessAnswers, SCENARIOS, __doc__, prefix="endless-answers-", seconds=0, network="127.0.16",
                 engine_port=9300)
