#!/usr/bin/env python3
"""A gateway's machine was suspended while an engine worked on a request. The steady clock does not count such a time, so
that the gateway took the request's deadline for later than it was, by all of it, and told the next engine so.

Real processes on loopback; the gateway sees the clocks of a machine that was suspended while it is stopped by a signal.
An engine breaks its answer off meanwhile, and the gateway sends the request to another one when it goes on.

    python3 tests/soak/suspended_gateway.py
"""
import argparse
import asyncio
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from fleet import SUSPENDED_CLOCK, Fleet  # noqa: E402
from stand_in import Check, Engine, call, document, eventually, new_id, request_headers  # noqa: E402

SUSPENDED_S = 2.0
TOLD_TIME_SLACK_S = 0.5  # by which a later attempt's deadline may differ from the first one's


class BreakingEngine(Engine):
    """Breaks off the first run of a request that asks for it, 0.4 s after it began."""

    async def begin_run(self, request, target, body, writer):
        if b"break" in body and sum(engine.runs.get(request, 0) for engine in self.all) == 1:
            await asyncio.sleep(0.4)
            writer.transport.abort()
            await asyncio.sleep(60)


async def run(fleet, options, check):
    engines = [BreakingEngine(number, options.engine_port + number, fleet.controls) for number in range(2)]
    for engine in engines:
        engine.all = engines
    fleet.processes["gateway-1"].environment = {"LD_PRELOAD": str(SUSPENDED_CLOCK)}
    fleet.start_all()

    async def taken():
        status, _, _ = await call(fleet.controls[0], "PUT", "/v1/config", document(5), timeout=2)
        return status == 200
    await eventually(check, "the first configuration is taken", taken, seconds=30)
    for engine in engines:
        await engine.start()
    gateway = fleet.gateways[0]

    async def serves_from_both():
        status, _, _ = await call(gateway, "POST", "/safe/a", b"x", request_headers(), timeout=2)
        return status == 200 and all(engine.runs for engine in engines)
    await eventually(check, "the gateway serves from both engines", serves_from_both, seconds=30)
    request = new_id()
    asked = asyncio.create_task(call(gateway, "POST", "/safe/a", b"break", request_headers(request, remaining=4000)))
    await asyncio.sleep(0.15)
    fleet.processes["gateway-1"].send(signal.SIGSTOP)
    await asyncio.sleep(SUSPENDED_S)
    fleet.processes["gateway-1"].send(signal.SIGCONT)
    status, _, body = await asked
    check.that(status == 200 and body == b"echo:break", f"the request is answered after all: {status} {body!r}")
    told = sorted(entry for engine in engines for entry in engine.told_deadlines.get(request, []))
    check.that(len(told) == 2, f"it ran at two engines: {told}")
    grown = told[-1][1] - told[0][1]
    print(f"the second engine was told a deadline {grown:.2f} s after the first one's; runs began {told[-1][0] - told[0][0]:.2f} s apart")
    check.that(grown <= TOLD_TIME_SLACK_S, f"a later attempt was given {grown:.2f} s more than the caller waits")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--network", default="127.0.6", help="first three numbers of the fleet's loopback addresses")
    parser.add_argument("--engine-port", type=int, default=8800, help="first port of the engines at 127.0.0.1")
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="suspended-gateway-"))
    fleet = Fleet(folder, controls=3, stores=3, gateways=1, network=options.network)
    check = Check()
    try:
        asyncio.run(run(fleet, options, check))
    finally:
        fleet.kill_all()
    if check.failed == 0:
        shutil.rmtree(folder, ignore_errors=True)
    print(f"suspended gateway: broken={check.failed} logs={folder}")
    sys.exit(1 if check.failed else 0)


if __name__ == "__main__":
    main()
