#!/usr/bin/env python3
"""An engine answered with bytes that are no answer and have no end, in a head or in a body. Items stayed at it for as long as
it went on, the memory of a store grew by 15 to 66 MB in a minute, and online requests waited there until their deadline
although other engines had room.

Real processes on loopback, three engines of four slots: one of them (or all, for a while) sends such bytes.

    python3 tests/soak/endless_answers.py --scenario head|head-line|head-bytes|interim|surplus|event|comments|repeated|body|unframed|every|all [--seed 1]

every: one kind after the other, fast and slowly. all: all engines, for a while.
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
from stand_in import Check, call, eventually, new_id, request_headers  # noqa: E402

SCENARIOS = (*KINDS, "every", "all")
ENGINES, SLOTS = 3, 4
KIND_S = 8.0  # time for which an engine sends one kind
FINISH_S = 18.0
ITEMS = 12
MOST_GROWTH_KB = 24 * 1024  # of any process
CLOSED_S = 3.5  # a run without a further event is at its engine no longer than this
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
        self.engines = [EndlessEngine(number, options.engine_port + number, self.fleet.controls, slots=SLOTS,
                                      event_delay=0.02) for number in range(ENGINES)]
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
