#!/usr/bin/env python3
"""Accepted items were listed as errored by a leader of the stores that knew no configuration: half of the control
processes were out of reach, so that nobody could prove one to a store that had just started.

Real processes on loopback. In each round three of five control processes stand still, the leading store is killed and
starts again, and another store stands still for a while; then all go on.

    python3 tests/soak/unknown_routes.py --scenario half|removed|returns [--seed 1] [--seconds 14]

half: all items are complete in the end. removed: the operator removes the route of one job once the control processes
go on: its waiting items end as errored, those of the other job are complete. returns: the operator removes the route, and puts
it back soon: all items are complete.
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
from scenarios import run_scenario  # noqa: E402
from stand_in import HOST, Check, Engine, call, document, eventually, new_id  # noqa: E402

ENGINES = 2
SLOTS = 6  # of an engine: most items wait
EVENT_DELAY = 0.3  # an item takes three seconds
ITEMS = 30  # of a job
CONTROLS_OUT_S = (5.5, 7.0)
STORE_OUT_S = (2.0, 3.0)
STORE_DOWN_S = 0.5
ROUND_S = 14  # that a round takes at most
PUT_BACK_AFTER_S = 1.5  # within the time for which a missing route's items are kept
GIVEN_UP_WITHIN_S = 15
DONE_WITHIN_S = 60
OTHER_ROUTE = {"Name": "r-other", "Host": HOST, "PathPrefix": "/other/", "Type": "batch", "TimeoutMs": 4000,
               "TargetLatencyMs": 400, "Priority": 0, "Service": "llm", "MaxAttempts": 3, "CompletionTargetMs": 20000,
               "RetentionS": 120}
SCENARIOS = ("half", "removed", "returns")


class UnknownRoutes:
    def __init__(self, options, folder):
        self.options = options
        self.random = random.Random(options.seed)
        self.fleet = Fleet(folder, controls=5, stores=3, gateways=2, network=options.network)
        self.check = Check()
        self.engines = [Engine(number, options.engine_port + number, self.fleet.controls, slots=SLOTS,
                               event_delay=EVENT_DELAY) for number in range(ENGINES)]
        self.version = 5  # of the first configuration, see `Fleet.form`

    async def put_routes(self, *extra):
        self.version += 1

        async def taken():
            status, _, _ = await call(self.random.choice(self.fleet.controls), "PUT", "/v1/config",
                                      document(self.version, extra), timeout=2)
            return status == 200
        await eventually(self.check, f"configuration {self.version} is taken", taken)

    async def submit(self, prefix):
        job, items = new_id(), [new_id() for _ in range(ITEMS)]
        requests = [{"Id": item, "Path": f"/{prefix}/{item}", "Headers": {"X-Model": "m", "X-Token-Usage": "10,10"},
                     "Body": base64.b64encode(b"stream").decode(), "TokenCount": 20} for item in items]

        async def accepted():
            status, _, _ = await call(self.random.choice(self.fleet.gateways), "POST", f"/{prefix}/new",
                                      json.dumps({"Requests": requests}),
                                      {"X-Attempt-Id": job, "Content-Type": "application/json"}, timeout=4)
            return status == 202
        await eventually(self.check, f"a job on {prefix} is accepted", accepted)
        return job

    async def results(self, job, seconds):
        listed = []

        async def finished():
            status, _, page = await call(self.random.choice(self.fleet.gateways), "GET", f"/v1/lots/{job}?SinceRev=0")
            listed[:] = json.loads(page)["Results"] if status == 200 else []
            return len(listed) == ITEMS
        await eventually(self.check, f"job {job} is finished", finished, seconds=seconds)
        return listed

    async def check_complete(self, job):
        for result in await self.results(job, DONE_WITHIN_S):
            whole = "\n".join(f"{result['Id']}-{number}" for number in range(1, 11))
            self.check.that(result["State"] == "complete" and result["Text"] == whole,
                            f"item {result['Id']} is {result['State']} with {len(result['Text'])} bytes")

    async def check_given_up(self, job):
        """Items that ran when their route was removed may be complete."""
        states = [result["State"] for result in await self.results(job, GIVEN_UP_WITHIN_S)]
        self.check.that("errored" in states, f"no item of the removed route is given up: {states}")

    async def lose_half(self, started):
        """Half of the machines that count is out of reach, and the leading store of the other half is killed."""
        controls = self.random.sample(self.fleet.of_role("control"), 3)
        leader = self.fleet.leading_store()
        other = self.random.choice([store for store in self.fleet.of_role("store") if store is not leader])
        print(f"{time.monotonic() - started:6.2f} s  {[p.name for p in controls]} and {other.name} stand still, "
              f"{leader.name} is killed", flush=True)
        for process in [*controls, other]:
            process.send(signal.SIGSTOP)
        leader.kill()
        await asyncio.sleep(STORE_DOWN_S)
        leader.start()
        store_out = self.random.uniform(*STORE_OUT_S)
        controls_out = self.random.uniform(*CONTROLS_OUT_S)
        await asyncio.sleep(store_out - STORE_DOWN_S)
        other.send(signal.SIGCONT)
        await asyncio.sleep(controls_out - store_out)
        for control in controls:
            control.send(signal.SIGCONT)

    async def play_round(self, started):
        jobs = [await self.submit("batch"), await self.submit("other")]
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        await self.lose_half(started)
        if self.options.scenario == "removed":
            await self.put_routes()
            await self.check_given_up(jobs.pop())
        if self.options.scenario == "returns":
            await self.put_routes()
            await asyncio.sleep(PUT_BACK_AFTER_S)
        if self.options.scenario != "half":
            await self.put_routes(OTHER_ROUTE)
        for job in jobs:
            await self.check_complete(job)

    async def run(self):
        await self.fleet.form(self.check, self.engines)
        await self.put_routes(OTHER_ROUTE)
        started = time.monotonic()
        rounds = max(1, round(self.options.seconds / ROUND_S))
        for _ in range(rounds):
            await asyncio.sleep(1)
            await self.play_round(started)
        print(f"rounds={rounds} items={rounds * 2 * ITEMS}")


if __name__ == "__main__":
    run_scenario(UnknownRoutes, SCENARIOS, __doc__, prefix="unknown-routes-", seconds=14, network="127.0.33",
                 engine_port=9350)
