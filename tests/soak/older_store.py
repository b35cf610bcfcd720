#!/usr/bin/env python3
"""A store of an older release that stood still while the others were replaced: the group keeps the ends of jobs that it
does not have by then, so the store must not be taken in when it comes back.

    python3 tests/soak/older_store.py --old PROGRAM --new PROGRAM [--network 127.0.6]

Called by tools/mixed_releases.sh. Exit code 1 and lines that begin with FAILED if the store is taken in, or if a job runs
after its end was acknowledged.
"""
import argparse
import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from fleet import Fleet  # noqa: E402
from stand_in import Check, Engine, call, eventually, new_id  # noqa: E402

OLDER = "store-4"
JOBS = 20  # ended and submitted after the older store has come back
BACK_FOR_S = 15  # more than a learner needs to be taken in


class OlderStore:
    def __init__(self, options, folder):
        self.fleet = Fleet(folder, controls=3, stores=4, gateways=2, network=options.network)
        for process in self.fleet.processes.values():
            process.program = options.new
        self.older = self.fleet.processes[OLDER]
        self.older.program = options.old
        self.check = Check()
        self.engines = [Engine(0, options.engine_port, self.fleet.controls)]

    async def submission_after_end(self):
        """Ends a job that nobody has submitted, submits it, and returns the status of that."""
        job, item = new_id(), new_id()
        body = json.dumps({"Requests": [{"Id": item, "Path": f"/batch/{item}", "Headers": {"X-Model": "m"}, "Body": "",
                                         "TokenCount": 20}]})
        ended, _, _ = await call(self.fleet.gateways[0], "DELETE", f"/v1/lots/{job}", timeout=5)
        if ended != 200:
            return ended
        status, _, _ = await call(self.fleet.gateways[1], "POST", "/batch/new", body,
                                  {"X-Attempt-Id": job, "Content-Type": "application/json"}, timeout=5)
        return status

    async def forgets_ends(self):
        return await self.submission_after_end() == 202

    async def keeps_ends(self):
        return await self.submission_after_end() == 409

    def lines_with(self, *texts):
        lines = []
        for store in self.fleet.of_role("store"):
            lines += store.file.with_suffix(".log").read_text(errors="replace").splitlines()
        return [line for line in lines if all(text in line for text in texts)]

    async def run(self):
        await self.fleet.form(self.check, self.engines)
        await eventually(self.check, "ends are forgotten while a store of the older release is there", self.forgets_ends)
        self.older.send(signal.SIGSTOP)
        await eventually(self.check, "ends are kept once the older store is gone", self.keeps_ends, seconds=60)
        added_before = len(self.lines_with("event=membership_change "))
        self.older.send(signal.SIGCONT)
        await asyncio.sleep(BACK_FOR_S)
        changes = self.lines_with("event=membership_change ")[added_before:]
        self.check.that(not changes, f"the older store was taken in: {changes}")
        self.check.that(self.lines_with("event=candidate_too_old"), "nobody has said that the older store is not taken in")
        answers = [await self.submission_after_end() for _ in range(JOBS)]
        self.check.that(set(answers) == {409}, f"submissions of ended jobs were answered {answers}")


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--old", required=True, type=Path)
    parser.add_argument("--new", required=True, type=Path)
    parser.add_argument("--network", default="127.0.6")
    parser.add_argument("--engine-port", type=int, default=9800)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="older-store-"))
    play = OlderStore(options, folder)
    try:
        await play.run()
    finally:
        play.fleet.kill_all()
    print(f"older_store: broken={play.check.failed} logs={folder}")
    return 1 if play.check.failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
