#!/usr/bin/env python3
"""Engines in trouble sent answers that are broken, and callers got them as answers. An engine answered a long upload with a 200
without a length and reset the connection while the upload was being written: the caller got the part as the whole answer. Heads
with a status that is none, or with a line that begins with a blank, were passed on.

Guards against both, online and in batch items. Real processes on loopback; engines break half of their answers (a third of those
to items), callers check each answer that they get.

    python3 tests/soak/broken_answers.py --scenario uploads|statuses|names|folded [--seed 1] [--seconds 8]

uploads: answers without a length to uploads that have not been read, broken off. statuses: none, or one that nobody asked for.
names: lines of a head whose field name is none. folded: lines that begin with a blank.
"""
import asyncio
import base64
import collections
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from broken_engine import EVENTS, BrokenEngine  # noqa: E402
from fleet import Fleet  # noqa: E402
from job_results import JobResults  # noqa: E402
from scenarios import run_scenario  # noqa: E402
from stand_in import Check, call, document, eventually, new_id, request_headers  # noqa: E402

ENGINES = 6
CALLERS = 8
SHARE = 0.5
MOST_BODY_BYTES = 16 << 20
UPLOAD_BYTES = (1 << 10, 900 << 10, 3 << 20, 12 << 20)
ITEM_BYTES = 700 << 10
ITEMS = 4  # of a job
JOBS = 4
FINISH_S = 25.0  # all items of a job are complete this long after the engines are sound again
CALL_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError)
SCENARIOS = ("uploads", "statuses", "names", "folded")


class BrokenAnswers:
    """The fleet, its engines, callers and jobs."""

    def __init__(self, options, folder):
        self.options = options
        self.random = random.Random(options.seed)
        self.fleet = Fleet(folder, controls=3, stores=3, gateways=2, network=options.network)
        self.check = Check()
        self.done = {}  # request -> what engines have broken of its answers
        self.engines = [BrokenEngine(number, options.engine_port + number, self.fleet.controls, options.scenario, SHARE,
                                     self.done, slots=24) for number in range(ENGINES)]
        for number, engine in enumerate(self.engines):
            engine.random.seed(options.seed * ENGINES + number)
            engine.share = 0.0
        self.results = JobResults(self.check)
        self.statuses = collections.Counter()
        self.jobs = {}  # job -> its items
        self.loading = True

    async def put_limits(self):
        changed = json.loads(document(6))
        changed["Limits"]["MaxBodyBytes"] = MOST_BODY_BYTES

        async def taken():
            status, _, _ = await call(self.fleet.controls[0], "PUT", "/v1/config", json.dumps(changed), timeout=2)
            return status == 200
        await eventually(self.check, "the configuration is taken", taken, seconds=10)
        upload = b"x" * max(UPLOAD_BYTES)

        async def serves(gateway):
            status, _, _ = await call(gateway, "POST", "/safe/a", upload, request_headers(), timeout=4)
            return status == 200
        for gateway in self.fleet.gateways:
            await eventually(self.check, f"{gateway} takes long uploads", lambda: serves(gateway), seconds=10)

    async def ask(self):
        while self.loading:
            target = self.random.choice(("/safe/a", "/once/a", "/talk/a", "/speech/a"))
            size = self.random.choice(UPLOAD_BYTES) if self.options.scenario == "uploads" else 16
            request = new_id()
            is_text = target in ("/talk/a", "/speech/a")
            body = request.encode().ljust(size, b"u") + (b"stream" if is_text else b"")
            try:
                answer = await call(self.random.choice(self.fleet.gateways), "POST", target, body, request_headers(request))
            except CALL_ERRORS:
                self.statuses["broken off"] += 1
                continue
            except (ValueError, IndexError) as error:
                self.check.that(False, f"{target} {request} got bytes that are no answer: {error}")
                continue
            self.check_answer(request, target, body, is_text, *answer)

    def check_answer(self, request, target, sent, is_text, status, fields, body):
        self.statuses[status] += 1
        done = self.done.get(request)
        self.check.that(200 <= status <= 599, f"{target} {request} got the status {status:03}")
        seal = fields.get("x-response-seal")
        self.check.that(seal in (None, f"seal-{request}"), f"{target} {request} got the seal {seal!r}")
        odd = [name for name in fields if "bro" in name]
        self.check.that(not odd, f"{target} {request} got the fields {odd}")
        if status >= 300:
            # Engines answer with a failure only where they break off; theirs has a seal.
            self.check.that(seal is None, f"{target} {request} of {len(sent)} bytes got a {status} that its engine broke: {done}")
            return
        wanted = self.text_of(request) if is_text else b"echo:" + sent
        self.check.that(seal is not None and body == wanted,
                        f"{target} {request} of {len(sent)} bytes got as a whole answer, {status}: {body[:40]!r} of {len(body)} bytes; "
                        f"{done}")

    def text_of(self, request):
        """The events that an engine makes for a request."""
        return "".join(f"id: {number}\ndata: {request}-{number}\n\n" for number in range(1, EVENTS + 1)).encode()

    async def submit(self):
        size = ITEM_BYTES if self.options.scenario == "uploads" else 16
        items = [new_id() for _ in range(ITEMS)]
        requests = [{"Id": item, "Path": f"/batch/{item}", "Headers": {"X-Token-Usage": "10,10"},
                     "Body": base64.b64encode(b"stream".ljust(size, b"u")).decode(), "TokenCount": 20} for item in items]
        job = await self.fleet.submit_job(self.check, requests, self.random)
        self.jobs[job] = items

    async def check_job(self, job, items, until):
        async def is_listed():
            return await self.results.read(job, self.random.choice(self.fleet.gateways)) >= len(items)
        await eventually(self.check, f"all items of job {job} are listed", is_listed, seconds=until - time.monotonic())
        for result in self.results.of(job):
            wanted = "\n".join(f"{result['Id']}-{number}" for number in range(1, EVENTS + 1))
            text = result.get("Text", "")
            self.check.that(result["State"] == "complete" and text == wanted,
                            f"item {result['Id']} is {result['State']} with {len(text.splitlines())} events, the last {text[-24:]!r}")

    async def run(self):
        await self.fleet.form(self.check, self.engines)
        await self.put_limits()
        for engine in self.engines:
            engine.share = SHARE
        work = [asyncio.create_task(self.ask()) for _ in range(CALLERS)]
        for _ in range(JOBS):
            await self.submit()
            await asyncio.sleep(self.options.seconds / JOBS)
        self.loading = False
        await asyncio.gather(*work)
        for engine in self.engines:
            engine.share = 0.0
        until = time.monotonic() + FINISH_S
        await asyncio.gather(*(self.check_job(job, items, until) for job, items in self.jobs.items()))
        broken = sum((collections.Counter(engine.broken) for engine in self.engines), collections.Counter())
        self.check.that(sum(broken.values()) > 0, "no engine has broken an answer")
        print(f"broken by engines: {sum(broken.values())} {dict(sorted(broken.items()))}")
        print(f"callers got: {dict(sorted(self.statuses.items(), key=str))}")


if __name__ == "__main__":
    run_scenario(BrokenAnswers, SCENARIOS, __doc__, prefix="broken-answers-", seconds=8, network="127.0.85",
                 engine_port=10300)
