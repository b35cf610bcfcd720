#!/usr/bin/env python3
"""Large jobs at stores that have little memory, with a log so long that snapshots fall due, members that are killed while
they take, send and take up snapshots, and one that loses its disk: no process ends by itself, and what was accepted can
be read.

    python3 tests/soak/large_jobs.py [--jobs 40] [--small-jobs 5200] [--kills 10] [--folder DIR] [--network 127.0.8]

Exit code 1 and lines that begin with FAILED if a promise is broken; the logs stay in the folder then.
"""
import argparse
import asyncio
import base64
import json
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from fleet import PROGRAM, Fleet  # noqa: E402
from stand_in import Check, call, document, eventually, new_id  # noqa: E402

MEMORY_MB = 130
ITEMS = 100
BODY_BYTES = 6000
CALLERS = 24
CALL_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError)


def peak_mb(process):
    """The kernel's peak of resident memory since the process began."""
    status = Path(f"/proc/{process.child.pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / 1024


class LargeJobs:
    def __init__(self, options, folder):
        self.options = options
        self.check = Check()
        self.random = random.Random(options.seed)
        self.fleet = Fleet(folder, controls=3, stores=3, gateways=2, network=options.network)
        for process in self.fleet.processes.values():
            process.program = options.program
        for store in self.fleet.of_role("store"):
            store.file.write_text(store.file.read_text() + f"memory_mb = {MEMORY_MB}\n")
        self.accepted = {}  # job -> items
        self.ended = []  # stores that were over their memory, or ended by themselves
        self.peaks = {}  # store -> the most memory it has had
        self.watching = True

    async def submit(self, items, body_bytes):
        """Until the job is accepted; the same job again after each failure."""
        job = new_id()
        requests = [{"Id": new_id(), "Path": "/batch/1", "Headers": {"X-Token-Usage": "10,10"},
                     "Body": base64.b64encode(self.random.randbytes(body_bytes)).decode(), "TokenCount": 20}
                    for _ in range(items)]
        text = json.dumps({"Requests": requests})
        for _ in range(20):
            try:
                status, _, _ = await call(self.random.choice(self.fleet.gateways), "POST", "/batch/new", text,
                                          {"X-Attempt-Id": job}, timeout=4)
            except CALL_ERRORS:
                status = 0
            if status == 202:
                self.accepted[job] = items
                return True
            await asyncio.sleep(0.25)
        return False

    async def submit_all(self, count, items, body_bytes):
        left = [count]

        async def one_caller():
            while left[0] > 0:
                left[0] -= 1
                await self.submit(items, body_bytes)
        await asyncio.gather(*(one_caller() for _ in range(CALLERS)))

    async def watch_memory(self):
        """Ends a store that has had more memory than its limit, and starts it again, as the platform does."""
        while self.watching:
            await asyncio.sleep(0.02)
            for store in self.fleet.of_role("store"):
                if store.is_killed:
                    continue
                peak = peak_mb(store) if store.is_running() else 0
                self.peaks[store.name] = max(peak, self.peaks.get(store.name, 0))
                if store.is_running() and peak <= MEMORY_MB:
                    continue
                self.ended.append(f"{store.name} at {peak:.0f} MB")
                await self.kill(store, downtime=1)

    async def kill(self, store, downtime):
        store.is_killed = True
        store.kill()
        await asyncio.sleep(downtime)
        store.start()
        store.is_killed = False

    async def kill_in_turn(self):
        """At any moment of replay, snapshot or transfer."""
        stores = self.fleet.of_role("store")
        for number in range(self.options.kills):
            await self.kill(stores[number % len(stores)], self.random.uniform(0.05, 0.3))
            await asyncio.sleep(self.random.uniform(0.1, 1.5))

    async def lose_disk(self):
        store = self.fleet.of_role("store")[0]
        store.is_killed = True
        store.kill()
        log = Path(store.file).with_suffix(".log")
        logged = log.stat().st_size
        shutil.rmtree(Path(self.fleet.folder) / "data" / store.name)
        store.start()
        store.is_killed = False

        async def is_taken_up():
            since = log.read_bytes()[logged:]
            received = since.find(b"event=snapshot_receive_started")
            return received >= 0 and b"event=snapshot_restored" in since[received:]
        await eventually(self.check, f"{store.name}, whose disk was lost, takes up a snapshot", is_taken_up, seconds=30)

    async def read_all(self):
        sample = self.random.sample(sorted(self.accepted), min(200, len(self.accepted)))
        large = [job for job, items in self.accepted.items() if items == ITEMS]
        for job in {*sample, *large}:
            async def is_read():
                status, _, body = await call(self.random.choice(self.fleet.gateways), "GET", f"/v1/lots/{job}?SinceRev=0",
                                             timeout=3)
                self.check.that(status not in (404, 410), f"job {job} was accepted and is answered {status}")
                return status == 200 and json.loads(body)["Total"] == self.accepted[job]
            if not await eventually(self.check, f"job {job} can be read", is_read, seconds=20):
                return

    async def run(self):
        for store in self.fleet.of_role("store"):
            store.is_killed = False
        await self.fleet.form_without_engines(self.check)
        await self.submit(1, 10)
        self.fleet.mark_formed()
        watch = asyncio.create_task(self.watch_memory())
        await self.submit_all(self.options.jobs, ITEMS, BODY_BYTES)
        await self.submit_all(self.options.small_jobs, 1, 10)
        accepted = len(self.accepted)
        self.check.that(accepted >= self.options.jobs, f"only {accepted} jobs were accepted")
        await self.read_all()
        await asyncio.gather(self.kill_in_turn(), self.submit_all(self.options.jobs // 4, ITEMS, BODY_BYTES))
        if self.options.kills > 0:
            await self.lose_disk()
        await self.read_all()
        self.watching = False
        await watch
        self.check.that(not self.ended, f"stores ended {len(self.ended)} times by their memory: {self.ended[:6]}")
        print(f"large_jobs: accepted={len(self.accepted)} ended={len(self.ended)} peak_mb={max(self.peaks.values()):.0f} "
              f"limit_mb={MEMORY_MB} broken={self.check.failed}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--jobs", type=int, default=60)
    parser.add_argument("--small-jobs", type=int, default=5200)
    parser.add_argument("--kills", type=int, default=10)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", type=Path)
    parser.add_argument("--program", type=Path, default=PROGRAM)
    parser.add_argument("--network", default="127.0.8")
    options = parser.parse_args()
    folder = options.folder or Path(tempfile.mkdtemp(prefix="hatchfork-large-jobs-"))
    folder.mkdir(parents=True, exist_ok=True)
    began = time.monotonic()
    run = LargeJobs(options, folder)
    try:
        asyncio.run(run.run())
    finally:
        run.fleet.kill_all()
    print(f"took {time.monotonic() - began:.0f} s")
    if run.check.failed:
        print(f"logs: {folder}")
        sys.exit(1)
    if options.folder is None:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
