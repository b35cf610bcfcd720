"""A release of the engines, then a kill of the leading store: does each item's text come from runs that continue each other?"""
import asyncio
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from fleet import (Engine, batch_route, new_id, put_configuration, read_results, run_case, submit_until_accepted,  # noqa: E402
                   until, until_ready)

JOBS = 4
ITEMS = 18  # of a job
DRAIN_S = 2.0  # DrainMs of the site
EVENTS = 40
EVENT_S = 0.15


class TaggingEngine(Engine):
    """Each event's data names the engine that made it, so that a text tells which runs it was joined from."""

    def text_of(self, item, number):
        return f"{item}/{number}@{self.id}"


def check_text(fleet, item, text, runs):
    """Broken rules in one text. `runs`: (engine, item) -> the events after which its runs were asked to continue."""
    broken = []
    last = None
    lines = text.split("\n")
    for position, line in enumerate(lines, 1):
        name, _, engine = line.partition("@")
        if name != f"{item}/{position}" or (engine, item) not in runs:
            broken.append(f"MIXED: item {item}: line {position} of its text is {line!r}, which no engine sent as that event")
            return broken
        if engine != last and position > 1 and position - 1 not in runs[(engine, item)]:
            broken.append(f"ORDER: item {item}: after event {position - 1} of {last} the text continues with a run at {engine}, "
                          f"which was asked with Last-Event-Id {sorted(runs[(engine, item)])} only")
        last = engine
    if len(lines) != EVENTS:
        broken.append(f"ORDER: item {item}: its text has {len(lines)} events of {EVENTS}")
    return broken


async def release(fleet, old, first_number):
    """The engines are replaced one after the other: the new one starts first, the old one drains."""
    new, ending = [], []
    for number, engine in enumerate(old):
        replacement = TaggingEngine(fleet, first_number + number, version="v2", events=EVENTS, delay=EVENT_S)
        await replacement.start()
        new.append(replacement)
        ending.append(asyncio.create_task(engine.drain_and_end(DRAIN_S + 0.5)))
        await asyncio.sleep(1.0)
    return new, ending


async def case(fleet, trouble):
    await put_configuration(fleet, 3, [batch_route()])
    old = [TaggingEngine(fleet, n, version="v1", events=EVENTS, delay=EVENT_S) for n in range(4)]
    for engine in old:
        await engine.start()
    engines = list(old)
    await until_ready(fleet)
    if trouble:
        # First release, of half of the engines, long before the job.
        new, ending = await release(fleet, old[:2], 10)
        engines += new
        await asyncio.gather(*ending)
    await asyncio.sleep(2)
    jobs = [new_id() for _ in range(JOBS)]
    for job in jobs:
        await submit_until_accepted(fleet, job, {new_id(): b"x" * 200 for _ in range(ITEMS)})

    async def all_run():
        return len({request for engine in engines for _, request, _ in engine.runs}) == JOBS * ITEMS
    await until(all_run, 15, "all items run")
    await asyncio.sleep(1.5)
    if trouble:
        # Second release, of the other half.
        new, ending = await release(fleet, old[2:], 20)
        engines += new
        await asyncio.gather(*ending)
        await asyncio.sleep(4.0)
        leader = fleet.store_leader()
        fleet.kill(leader)
        await asyncio.sleep(1.0)
        fleet.restart(leader)
    results = []
    for job in jobs:
        listed = []

        async def finished(job=job, listed=listed):
            status, page = await read_results(fleet, random.choice(fleet.gateways), job, len(listed))
            if status == 200:
                listed.extend(page["Results"])
            return len(listed) == ITEMS
        await until(finished, 50, f"job {job} is done")
        results += listed
    runs = {}
    for engine in engines:
        for _, request, after in engine.runs:
            runs.setdefault((engine.id, request), set()).add(after)
    broken = []
    for result in results:
        fleet.record(f"client read {result['Id']} {result['State']}: {result['Text'].split(chr(10))}")
        if result["State"] != "complete":
            broken.append(f"MIXED: item {result['Id']} is {result['State']}")
            continue
        broken += check_text(fleet, result["Id"], result["Text"], runs)
    return broken


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
