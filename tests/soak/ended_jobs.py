#!/usr/bin/env python3
"""Items ran long after the end of their job had been acknowledged: an end that overtook its submission was forgotten, and
orders of runs that waited at a store were carried out however old they were.

Real processes on loopback. Clients submit jobs, give some submissions up and send them again elsewhere, end most of the
jobs at any gateway, and resend some ends and submissions. Meanwhile processes stand still or are killed.

    python3 tests/soak/ended_jobs.py --scenario early [--seed 1] [--seconds 30]

early: clients end jobs that they submit afterwards. founding: many do so, from before the stores have formed their group.
gateways, leaders, stores: gateways, the leading store, another store stand still in turn for seconds. kills: the leading
store is killed and starts again. tenants: one tenant ends jobs that it has not submitted by the thousand; another's ends
hold, and its jobs of the same identifiers run.

No item may reach an engine later than CANCEL_S after the end of its job was acknowledged, from whatever process. What is
not ended is completed, and what was accepted stays known.
"""
import asyncio
import base64
import json
import random
import re
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from fleet import Fleet  # noqa: E402
from job_results import JobResults  # noqa: E402
from scenarios import run_scenario  # noqa: E402
from stand_in import Check, Engine, call, document, eventually, new_id  # noqa: E402

CANCEL_S = 3.0  # after the acknowledged end of a job, from which on none of its items may reach an engine
ITEMS = 10  # of a job
ENGINES = 6
SLOTS = 19
EVENT_DELAY = 0.12  # an item takes a bit more than a second
SETTLE_S = 9.0  # after the last call, for items that come late
DONE_WITHIN_S = 60
LONGEST_TRY_S = 3.6
FLOOD = 6000  # ends of unknown jobs, twice as many as are kept of a tenant
FLOOD_CLIENTS = 24
MOST_GROWTH_MB = 32  # of a store by them; at most 4 MB of ends are kept, in the state and in the log
NEVER_ENDED_SHARE = 0.1
CALL_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError)


@dataclass
class Scenario:
    """Who stands still or is killed, for how long, and how often; how many clients there are."""

    clients: int
    faults: str = ""
    out_s: tuple = (0.0, 0.0)
    pause_s: tuple = (1.0, 2.5)
    ends_first: bool = False
    from_start: bool = False  # clients begin before the stores have formed their group
    given_up: float = 0.4  # share of the submissions that may be given up before they are answered


SCENARIOS = {
    "early": Scenario(clients=8, ends_first=True),
    "founding": Scenario(clients=60, ends_first=True, from_start=True),
    "gateways": Scenario(clients=40, faults="gateways", out_s=(3.2, 6.0), given_up=0.8),
    "leaders": Scenario(clients=40, faults="leaders", out_s=(3.2, 6.0)),
    "kills": Scenario(clients=40, faults="kills", out_s=(0.5, 2.0)),
    "stores": Scenario(clients=40, faults="stores", out_s=(3.2, 6.0)),
    "tenants": Scenario(clients=0),
}


@dataclass
class Job:
    id: str
    items: list
    accepted_at: float = 0.0
    ended_at: float = 0.0
    ends: bool = True
    tries: list = field(default_factory=list)


class RecordingEngine(Engine):
    """Notes when each item began."""

    def __init__(self, *arguments, begun, **named):
        super().__init__(*arguments, **named)
        self.begun = begun

    async def begin_run(self, request, target, body, writer):
        self.begun.append((time.monotonic(), request, self.id))


class EndedJobs:
    def __init__(self, options, folder):
        self.options = options
        self.scenario = SCENARIOS[options.scenario]
        self.random = random.Random(options.seed)
        self.fleet = Fleet(folder, controls=3, stores=3, gateways=3, network=options.network)
        self.check = Check()
        self.results = JobResults(self.check)
        self.begun = []  # when, item, engine
        self.jobs = []
        self.engines = [RecordingEngine(number, options.engine_port + number, self.fleet.controls, slots=SLOTS,
                                        event_delay=EVENT_DELAY, begun=self.begun) for number in range(ENGINES)]
        self.going = True

    def new_job(self):
        job = Job(new_id(), [new_id() for _ in range(ITEMS)])
        job.ends = self.random.random() >= NEVER_ENDED_SHARE
        self.jobs.append(job)
        return job

    @staticmethod
    def document_of(job):
        requests = [{"Id": item, "Path": f"/batch/{item}", "Headers": {"X-Model": "m", "X-Token-Usage": "10,10"},
                     "Body": base64.b64encode(b"stream").decode(), "TokenCount": 20} for item in job.items]
        return json.dumps({"Requests": requests})

    async def submit_once(self, job, timeout):
        gateway = self.random.choice(self.fleet.gateways)
        sent_at = time.monotonic()
        try:
            status, _, _ = await call(gateway, "POST", "/batch/new", self.document_of(job),
                                      {"X-Attempt-Id": job.id, "Content-Type": "application/json"}, timeout=timeout)
        except CALL_ERRORS:
            status = 0
        job.tries.append((sent_at, gateway, status))
        if status == 202:
            job.accepted_at = time.monotonic()
        return status

    async def end(self, job):
        """Ends the job at any gateway, until that is acknowledged."""
        while not job.ended_at:
            status = await self.end_once(job)
            if status == 200:
                job.ended_at = time.monotonic()
            else:
                await asyncio.sleep(0.1)

    async def end_once(self, job):
        try:
            status, _, _ = await call(self.random.choice(self.fleet.gateways), "DELETE", f"/v1/lots/{job.id}", timeout=3)
        except CALL_ERRORS:
            status = 0
        self.check.that(status != 404 or not job.accepted_at, f"job {job.id} was accepted, and its end is answered 404")
        return status

    async def play_early(self, job):
        """Ends the job, and submits it when that end must hold."""
        job.ends = True
        await self.end(job)
        await asyncio.sleep(CANCEL_S + self.random.uniform(0.1, 2.0))
        await self.submit_once(job, timeout=LONGEST_TRY_S)

    async def play_job(self, job):
        """Submits the job, perhaps gives that up before it is answered, and ends the job."""
        for _ in range(self.random.choice((1, 1, 2, 3))):
            impatient = job.ends and self.random.random() < self.scenario.given_up
            timeout = self.random.uniform(0.03, LONGEST_TRY_S) if impatient else LONGEST_TRY_S
            await self.submit_once(job, timeout)
            if job.accepted_at:
                break
        while not job.ends and not job.accepted_at and self.going:
            await self.submit_once(job, LONGEST_TRY_S)
        if not job.ends:
            return
        await asyncio.sleep(self.random.uniform(0, 1.5))
        resends = job.accepted_at and self.random.random() < 0.3
        again = asyncio.create_task(self.submit_once(job, LONGEST_TRY_S)) if resends else None
        await self.end(job)
        if again is not None:
            await again
        if self.random.random() < 0.3:
            await self.end_once(job)

    async def client(self):
        while self.going:
            job = self.new_job()
            await (self.play_early(job) if self.scenario.ends_first else self.play_job(job))

    def victim(self):
        leader = self.fleet.leading_store()
        if self.scenario.faults in ("leaders", "kills"):
            return leader
        role = "gateway" if self.scenario.faults == "gateways" else "store"
        return self.random.choice([process for process in self.fleet.of_role(role) if process is not leader])

    async def disturb(self, started):
        while self.going and self.scenario.faults:
            await asyncio.sleep(self.random.uniform(*self.scenario.pause_s))
            victim, out_s = self.victim(), self.random.uniform(*self.scenario.out_s)
            is_kill = self.scenario.faults == "kills"
            print(f"{time.monotonic() - started:6.2f} s  {victim.name} {'is killed' if is_kill else 'stands still'} "
                  f"for {out_s:.1f} s", flush=True)
            if is_kill:
                victim.kill()
            else:
                victim.send(signal.SIGSTOP)
            await asyncio.sleep(out_s)
            if is_kill:
                victim.start()
            else:
                victim.send(signal.SIGCONT)

    def judge_ends(self):
        jobs_of = {item: job for job in self.jobs for item in job.items}
        late = {}
        for at, item, engine in self.begun:
            job = jobs_of.get(item)
            if job is not None and job.ended_at and at > job.ended_at + CANCEL_S:
                late.setdefault(job.id, []).append((at - job.ended_at, item, engine))
        for id, items in late.items():
            job = next(job for job in self.jobs if job.id == id)
            first, last = min(items)[0], max(items)[0]
            tries = [f"{at - job.ended_at:+.2f} s at {gateway}: {status}" for at, gateway, status in job.tries]
            self.check.that(False, f"{len(items)} items of job {id} reached engines {first:.1f} to {last:.1f} s after its "
                                   f"end was acknowledged; submitted {tries}; {sorted(items)[:3]}")
        return len(late)

    async def judge_others(self):
        """Jobs that were accepted and never ended are completed; no accepted job is forgotten."""
        deadline = time.monotonic() + DONE_WITHIN_S
        for job in self.jobs:
            while job.accepted_at and not job.ends and len(self.results.of(job.id)) < ITEMS:
                if time.monotonic() > deadline:
                    self.check.that(False, f"job {job.id}, never ended, has {len(self.results.of(job.id))} results")
                    break
                await self.read(job)
            if job.accepted_at and job.ends:
                await self.read(job)

    async def read(self, job):
        try:
            await self.results.read(job.id, self.random.choice(self.fleet.gateways))
        except CALL_ERRORS:
            await asyncio.sleep(0.1)

    async def as_tenant(self, name, method, target, body=b"", job=""):
        headers = {"Authorization": f"Bearer key-{name}", "X-Attempt-Id": job, "Content-Type": "application/json"}
        status, _, _ = await call(self.random.choice(self.fleet.gateways), method, target, body, headers, timeout=5)
        return status

    async def until_status(self, wanted, name, method, target, body=b"", job=""):
        async def has_status():
            return await self.as_tenant(name, method, target, body, job) == wanted
        return await eventually(self.check, f"{method} {target} of {name} is answered {wanted}", has_status, seconds=30)

    async def flood(self, count):
        for _ in range(count):
            await self.until_status(200, "loud", "DELETE", f"/v1/lots/{new_id()}")

    def resident_mb(self):
        sizes = []
        for store in self.fleet.of_role("store"):
            status = Path(f"/proc/{store.child.pid}/status").read_text()
            sizes.append(int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024)
        return max(sizes)

    async def play_tenants(self):
        tenants = [{"Name": name, "ApiKeys": [f"key-{name}"], "Priority": 0, "RatePerS": 0, "Burst": 0}
                   for name in ("loud", "quiet")]

        async def taken():
            status, _, _ = await call(self.fleet.controls[0], "PUT", "/v1/config", document(6, tenants=tenants), timeout=2)
            return status == 200
        await eventually(self.check, "the configuration with tenants is taken", taken, seconds=30)
        for gateway in self.fleet.gateways:
            async def knows_tenants():
                status, _, _ = await call(gateway, "DELETE", f"/v1/lots/{new_id()}", timeout=5)
                return status == 401
            await eventually(self.check, f"{gateway} asks for keys", knows_tenants, seconds=30)
        ended, shared = self.new_job(), self.new_job()
        await self.until_status(200, "quiet", "DELETE", f"/v1/lots/{ended.id}")
        await self.until_status(200, "loud", "DELETE", f"/v1/lots/{shared.id}")
        before_mb = self.resident_mb()
        await asyncio.gather(*(self.flood(FLOOD // FLOOD_CLIENTS) for _ in range(FLOOD_CLIENTS)))
        grown_mb = self.resident_mb() - before_mb
        await self.until_status(409, "quiet", "POST", "/batch/new", self.document_of(ended), ended.id)
        await self.until_status(202, "quiet", "POST", "/batch/new", self.document_of(shared), shared.id)

        async def has_run():
            return {item for _, item, _ in self.begun} >= set(shared.items)
        await eventually(self.check, "a job runs whose identifier another tenant has ended", has_run, seconds=30)
        self.check.that(not set(ended.items) & {item for _, item, _ in self.begun}, "items of an ended job ran")
        self.check.that(grown_mb < MOST_GROWTH_MB, f"a store grew by {grown_mb:.0f} MB")
        print(f"ends={FLOOD} grown_mb={grown_mb:.0f}")

    def start_clients(self):
        return [asyncio.create_task(self.client()) for _ in range(self.scenario.clients)]

    async def run(self):
        if self.options.scenario == "tenants":
            await self.fleet.form(self.check, self.engines)
            return await self.play_tenants()
        clients = self.start_clients() if self.scenario.from_start else []
        await self.fleet.form(self.check, self.engines)
        clients = clients or self.start_clients()
        started = time.monotonic()
        faults = asyncio.create_task(self.disturb(started))
        await asyncio.sleep(self.options.seconds)
        self.going = False
        await faults
        await asyncio.wait(clients, timeout=30)
        await asyncio.sleep(SETTLE_S)
        late = self.judge_ends()
        await self.judge_others()
        ended = sum(1 for job in self.jobs if job.ended_at)
        accepted = sum(1 for job in self.jobs if job.accepted_at)
        self.check.that(ended > 0 and (accepted > 0 or self.scenario.ends_first), "no job was ended or accepted")
        if self.scenario.ends_first:
            answers = [status for job in self.jobs for _, _, status in job.tries]
            self.check.that(answers and set(answers) == {409}, f"submissions of ended jobs were answered {answers}")
        print(f"jobs={len(self.jobs)} accepted={accepted} ended={ended} late_jobs={late} runs={len(self.begun)}")


if __name__ == "__main__":
    run_scenario(EndedJobs, SCENARIOS, __doc__, prefix="ended-jobs-", seconds=30, network="127.0.36", engine_port=9500)
