#!/usr/bin/env python3
"""Where no store answers for seconds, gateways admit requests of a limited tenant from their shares of the limit. A share
is a part of what all gateways used, as the owner of the limit tells it. Guards against shares that together exceed the
limit, since an owner that has just started knows of no use: the stores start again, answer for about a second, and
stand still for seconds.

    python3 tests/soak/stalled_limit_owner.py [--program PROGRAM] [--seed 1] [--stalls 4] [--folder DIR]
"""
import argparse
import asyncio
import signal
import sys
from pathlib import Path

import mixed_releases
import soak as soaks

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
    soaks.add_fleet_arguments(parser, stores=4, network="127.0.5", engine_port=8700)
    options = parser.parse_args()
    options.old = options.program
    return soaks.run_soak(StalledLimitOwner, options, "hatchfork-stalled-")


if __name__ == "__main__":
    sys.exit(main())
