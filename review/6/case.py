"""Engines end several times in series; the items that they were running are then held, although the engines are idle."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from fleet import BOUNDS, document, new_id, play, submit_until_taken, unlisted_at_the_end  # noqa: E402

ENGINES, SLOTS = 4, 12
CRASHES, DOWN_S, UP_S = 8, 1.0, 2.0
PREFIX = "/pule252/"


async def case(fleet, trouble):
    routes = [("r-batch", PREFIX, "batch", "llm", {"CompletionTargetMs": 20000, "RetentionS": 60})]
    await fleet.form(document(7, routes, ["llm"], SLOTS))
    for number in range(ENGINES):
        fleet.start_engine(f"i-0-{number}", number, "llm", SLOTS)
    await asyncio.sleep(4)
    # 80 events of 100 ms: an item takes eight seconds.
    job, items = new_id(), [(new_id(), b'{"events": 80, "gap_ms": 100}', 80) for _ in range(12)]
    await submit_until_taken(fleet, job, PREFIX, items)
    fleet.traffic_ended = fleet.seconds()
    await asyncio.sleep(1.5)
    engines = [f"i-{CRASHES if trouble else 0}-{number}" for number in range(ENGINES)]
    for crash in range(CRASHES):
        if trouble:
            for number in range(ENGINES):
                fleet.signal(f"i-{crash}-{number}", signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        if trouble:
            for number in range(ENGINES):
                fleet.start_engine(f"i-{crash + 1}-{number}", number, "llm", SLOTS)
        await asyncio.sleep(UP_S)
    # Items that failed at an engine in the last 20 s don't count, and FinishS is over too.
    await asyncio.sleep(max(20 + 2, fleet.traffic_ended + BOUNDS["FinishS"] + 2 - fleet.seconds()))
    fleet.check_alive()
    broken = await unlisted_at_the_end(fleet, job, items, engines, SLOTS)
    fleet.note_engines()
    return broken


play(__file__, case)
