"""Half of the machines that count is out of reach for seconds, and the leading store is killed and starts again meanwhile: what
becomes of accepted items?"""
import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from fleet import (Engine, batch_route, new_id, put_configuration, read_results, run_case, submit_until_accepted,  # noqa: E402
                   until, until_ready)

JOBS = 2
ITEMS = 16  # of a job
CONTROL_FREEZE_S = 5.5  # at most 7.9 s on the pages for one of the core, 5.5 s for a cut of the core on this site
STORE_FREEZE_S = 3.0  # at most 3.2 s on this site
DOWN_S = 0.5


async def case(fleet, trouble):
    await put_configuration(fleet, 3, [batch_route()])
    engines = [Engine(fleet, n, events=60, delay=0.15) for n in range(2)]
    for engine in engines:
        await engine.start()
    await until_ready(fleet)
    await asyncio.sleep(2)
    jobs = [new_id() for _ in range(JOBS)]
    for job in jobs:
        await submit_until_accepted(fleet, job, {new_id(): b"x" * 200 for _ in range(ITEMS)})

    async def all_run():
        return len({request for engine in engines for _, request, _ in engine.runs}) == JOBS * ITEMS
    await until(all_run, 15, "all items run")
    await asyncio.sleep(1)
    if trouble:
        # Half of the machines that count (three control processes, one store) is out of reach: the other half, with two of
        # three stores, has two of five control processes. The store is back sooner, after the longest freeze of a store.
        leader = fleet.store_leader()
        controls = fleet.of("control")[:3]
        other_store = next(store for store in fleet.of("store") if store is not leader)
        for process in [*controls, other_store]:
            fleet.signal(process, signal.SIGSTOP)
        fleet.kill(leader)
        await asyncio.sleep(DOWN_S)
        fleet.restart(leader)
        await asyncio.sleep(STORE_FREEZE_S - DOWN_S)
        fleet.signal(other_store, signal.SIGCONT)
        await asyncio.sleep(CONTROL_FREEZE_S - STORE_FREEZE_S)
        for control in controls:
            fleet.signal(control, signal.SIGCONT)
    results = []
    for job in jobs:
        listed = []

        async def finished(job=job, listed=listed):
            status, page = await read_results(fleet, random.choice(fleet.gateways), job, len(listed))
            if status == 200:
                listed.extend(page["Results"])
            return len(listed) == ITEMS
        await until(finished, 40, f"job {job} is done")
        results += listed
    errored = [result["Id"] for result in results if result["State"] != "complete"]
    for result in results:
        fleet.record(f"client read {result['Id']} {result['State']} with {len(result['Text'])} bytes")
    if not errored:
        return []
    return [f"MIXED: {len(errored)} of {len(results)} accepted items are errored, though no engine answered 422 or 500, their "
            f"route is in every configuration, their jobs were not ended and RetentionS has not passed"]


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
