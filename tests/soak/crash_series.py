#!/usr/bin/env python3
"""Batch items that were at several engines that crashed one after the other were taken for the cause of the crashes and held
for 20 s, 200 s, up to six hours, although their engines were back and idle: 6 to 10 of 12 items lay.

Real processes on loopback; engines that end by themselves, and come back under another identifier. All items are sound.

    python3 tests/soak/crash_series.py --scenario alone|neighbours|turns|random|parts|online|kills [--seed 1]

alone: one item, all engines end ten times. neighbours: twelve items, the same. turns: one engine after the other. random: any
number of engines at any time. parts: items share a part of their prompts, and engines end before they answer. online: that
part crashes the engines of online requests, which go on to come. kills: as neighbours, and then all processes are killed.
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
from fleet import Fleet  # noqa: E402
from part_ending_engine import PartEndingEngine  # noqa: E402
from scenarios import run_scenario  # noqa: E402
from stand_in import Check, call, eventually, new_id, request_headers  # noqa: E402

SCENARIOS = ("alone", "neighbours", "turns", "random", "parts", "online", "kills")
FINISH_S = 18.0  # items are done this long after the last trouble
CONTACT_S = 3.0
KNOWN_ENDS = 5
MOST_LATER = 3  # online requests with a part that crashes engines, sent later than CONTACT_S after the fifth end
ROUNDS = 10
ROUND_S = 2.0
BACK_AFTER_S = 1.0
ITEMS = {"alone": 1}
DEFAULT_ITEMS = 12
SHARED_PART, BAD_PART = "5c1e07a2", "ba0001"
CALL_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError)


class SeriesEngine(PartEndingEngine):
    """Ends when it is told to, and under online requests with the bad part; no item ends it."""

    def __init__(self, *arguments, first_event_s=0.0, **more):
        super().__init__(*arguments, **more)
        self.first_event_s = first_event_s
        self.item_runs = []  # when runs of items began

    async def begin_run(self, request, target, body, writer):
        if not target.startswith("/batch/"):
            await super().begin_run(request, target, body, writer)
            return
        self.item_runs.append(time.monotonic())
        await asyncio.sleep(self.first_event_s)


class CrashSeries:
    """The fleet, its engines, a job, and what becomes of it."""

    def __init__(self, options, folder):
        self.options = options
        self.scenario = options.scenario
        self.random = random.Random(options.seed)
        self.fleet = Fleet(folder, controls=5, stores=3, gateways=2, network=options.network)
        self.check = Check()
        self.begun = []
        first_event_s = 1.0 if self.scenario == "parts" else 0.0
        self.engines = [SeriesEngine(number, options.engine_port + number, self.fleet.controls, {BAD_PART}, self.begun,
                                     first_event_s=first_event_s, back_after_s=BACK_AFTER_S, event_delay=0.8) for number in range(4)]
        self.loading = True

    async def submit(self):
        count = ITEMS.get(self.scenario, DEFAULT_ITEMS)
        part = BAD_PART if self.scenario == "online" else SHARED_PART
        items = []
        for _ in range(count):
            item = new_id()
            items.append({"Id": item, "Path": f"/batch/{item}",
                          "Headers": {"X-Prompt-Prefix": f"{part}:800,{new_id()}:250", "X-Token-Usage": "1460,80"},
                          "Body": base64.b64encode(b"stream " + item.encode()).decode(), "TokenCount": 1540})
        job = await self.fleet.submit_job(self.check, items, self.random)
        return job, count

    async def end_engines(self):
        """Gives the time of the last end."""
        for number in range(ROUNDS):
            chosen = self.engines
            if self.scenario == "turns":
                chosen = [self.engines[number % len(self.engines)]]
            if self.scenario == "random":
                chosen = self.random.sample(self.engines, self.random.randint(1, len(self.engines)))
            for engine in chosen:
                engine.end_by_itself()
            await asyncio.sleep(ROUND_S * (self.random.uniform(0.3, 1.7) if self.scenario == "random" else 1))
        return time.monotonic()

    async def send_online(self):
        """Eight requests a second whose prompts have the part that crashes engines."""
        async def send():
            headers = {**request_headers(), "X-Prompt-Prefix": f"{BAD_PART}:800,{new_id()}:250", "X-Token-Usage": "1460,80"}
            try:
                await call(self.random.choice(self.fleet.gateways), "POST", "/talk/a", b"stream " + new_id().encode(),
                           headers, timeout=6)
            except CALL_ERRORS:
                pass
        tasks = []
        while self.loading:
            tasks.append(asyncio.create_task(send()))
            await asyncio.sleep(0.125)
        await asyncio.gather(*tasks)

    async def read_states(self, job):
        status, _, body = await call(self.random.choice(self.fleet.gateways), "GET", f"/v1/lots/{job}?SinceRev=0",
                                     timeout=3)
        return [result["State"] for result in json.loads(body)["Results"]] if status == 200 else []

    async def check_items(self, job, count, since):
        states = []

        async def done():
            states[:] = await self.read_states(job)
            return len(states) == count
        await eventually(self.check, f"all {count} items are listed", done, seconds=since + FINISH_S - time.monotonic())
        print(f"{len(states)} of {count} items listed {time.monotonic() - since:.1f} s after the last trouble; "
              f"{sum(len(engine.item_runs) for engine in self.engines)} runs", flush=True)
        self.check.that(all(state == "complete" for state in states), f"items are listed as {sorted(set(states))}")

    def check_online(self):
        ends = sorted(at for engine in self.engines for at, by_a_run in engine.ends if by_a_run)
        known_at = ends[KNOWN_ENDS - 1] if len(ends) >= KNOWN_ENDS else float("inf")
        later = sum(at > known_at + CONTACT_S for at, _ in self.begun)
        print(f"online requests with the part: {len(self.begun)} sent, {later} of them later than {CONTACT_S:.0f} s after the "
              f"fifth end")
        self.check.that(later <= MOST_LATER, f"online requests with the part were sent {later} times later than allowed")

    async def run(self):
        await self.fleet.form(self.check, self.engines)
        if self.scenario == "online":
            online = asyncio.create_task(self.send_online())
            await asyncio.sleep(8)  # the part is known to crash engines
            job, count = await self.submit()
            await self.check_items(job, count, time.monotonic())
            await asyncio.sleep(8)  # that the items were answered proves nothing for online requests
            self.loading = False
            await online
            self.check_online()
            return
        job, count = await self.submit()
        await asyncio.sleep(0.8)
        calm_at = await self.end_engines()
        if self.scenario == "kills":
            for process in self.fleet.processes.values():
                process.kill()
            self.fleet.start_all()
            calm_at = time.monotonic()
        await self.check_items(job, count, calm_at)


if __name__ == "__main__":
    run_scenario(CrashSeries, SCENARIOS, __doc__, prefix="crash-series-", seconds=0, network="127.0.15", engine_port=9200)
