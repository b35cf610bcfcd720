#!/usr/bin/env python3
"""Where no store answers for seconds, gateways admit requests of a limited tenant from their shares of the limit. A share
is a part of what all gateways used, as the owner of the limit tells it; an owner that has just started knows of no use,
and each gateway then took the whole limit for its share: 76 requests ran in 5 s where 65 may. Here the stores start
again, answer for a second, and stand still for seconds.

    python3 tests/soak/stalled_limit_owner.py [--program PROGRAM] [--seed 1] [--stalls 4] [--folder DIR]
"""
import argparse
import asyncio
import shutil
import signal
import sys
import tempfile
from pathlib import Path

import mixed_releases

ANSWERING_S = (0.8, 1.5)  # between a start of the stores and their stall
STALL_S = (4.0, 5.5)  # as long as stores waited for a file sync that stood still
CALM_S = (5.5, 7.0)  # longer than the window of the limit


class StalledLimitOwner(mixed_releases.MixedReleases):
    """The limited tenant and its check; in place of replacements, stalls of all stores at the same moment."""

    async def stall_stores(self):
        stores = self.fleet.of_role("store")
        for store in stores:
            store.kill()
            store.start()
        await asyncio.sleep(self.random.uniform(*ANSWERING_S))
        for store in stores:
            store.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(*STALL_S))
        for store in stores:
            store.send(signal.SIGCONT)

    async def run(self):
        await self.form()
        await self.see_fleet_serve("formed")
        work = [asyncio.create_task(self.ask_limited())]
        for number in range(1, self.options.stalls + 1):
            await asyncio.sleep(self.random.uniform(*CALM_S))
            await self.stall_stores()
            print(f"stall {number} of {self.options.stalls}", flush=True)
        await asyncio.sleep(CALM_S[1])
        self.loading = False
        await asyncio.gather(*work)
        self.check_limit()
        self.check_processes()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--program", type=Path, default=Path("build/bin/hatchfork"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--stalls", type=int, default=4)
    parser.add_argument("--folder", help="for settings, data and logs; else a temporary one, kept only after a failure")
    parser.add_argument("--stores", type=int, default=4)
    parser.add_argument("--gateways", type=int, default=2)
    parser.add_argument("--network", default="127.0.5", help="first three numbers of the fleet's loopback addresses")
    parser.add_argument("--engine-port", type=int, default=8700, help="first port of the engines at 127.0.0.1")
    options = parser.parse_args()
    options.old = options.program
    folder = Path(options.folder or tempfile.mkdtemp(prefix="hatchfork-stalled-"))
    folder.mkdir(parents=True, exist_ok=True)
    soak = StalledLimitOwner(options, folder)
    try:
        asyncio.run(soak.run())
    finally:
        soak.fleet.kill_all()
    if soak.check.failed:
        print(f"logs: {folder}")
        return 1
    if not options.folder:
        shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
