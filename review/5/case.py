"""The only engine of one service is lost for good; then the batch items of another service, whose engines are idle, stay."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
from fleet import BOUNDS, document, new_id, play, submit_until_taken, unlisted_at_the_end  # noqa: E402

ENGINES, SLOTS = 2, 4
NOTES, RECON = "/pule252/", "/lohu930/"


async def case(fleet, trouble):
    more = {"CompletionTargetMs": 20000, "RetentionS": 60}
    routes = [("r-notes", NOTES, "batch", "llm-notes", more), ("r-recon", RECON, "batch", "llm-recon", more)]
    await fleet.form(document(7, routes, ["llm-notes", "llm-recon"], SLOTS))
    notes, recon = "i-n-0", [f"i-r-{number}" for number in range(ENGINES)]
    fleet.start_engine(notes, 0, "llm-notes", SLOTS)
    for number, name in enumerate(recon):
        fleet.start_engine(name, 10 + number, "llm-recon", SLOTS)
    await asyncio.sleep(4)
    # Of both services before it, to show that the deployment is sound.
    first = {prefix: (new_id(), [(new_id(), b'{"events": 40, "gap_ms": 25}', 40) for _ in range(4)])
             for prefix in (NOTES, RECON)}
    for prefix, (job, items) in first.items():
        await submit_until_taken(fleet, job, prefix, items)
    await asyncio.sleep(4)
    if trouble:
        fleet.signal(notes, signal.SIGKILL)
    await asyncio.sleep(15)
    # The clients don't know of it: a batch job for each of the two, one second apart, and a last one eight seconds later.
    job_notes, items_notes = new_id(), [(new_id(), b'{"events": 40, "gap_ms": 50}', 40) for _ in range(4)]
    await submit_until_taken(fleet, job_notes, NOTES, items_notes)
    await asyncio.sleep(1)
    job_recon, items_recon = new_id(), [(new_id(), b'{"events": 40, "gap_ms": 50}', 40) for _ in range(40)]
    await submit_until_taken(fleet, job_recon, RECON, items_recon)
    await asyncio.sleep(8)
    last, items_last = new_id(), [(new_id(), b'{"events": 40, "gap_ms": 25}', 40) for _ in range(2)]
    await submit_until_taken(fleet, last, RECON, items_last)
    fleet.traffic_ended = fleet.seconds()
    await asyncio.sleep(BOUNDS["FinishS"] + 2)
    fleet.check_alive()
    broken = []
    for job, items in (first[RECON], (job_recon, items_recon), (last, items_last)):
        broken += await unlisted_at_the_end(fleet, job, items, recon, SLOTS)
    fleet.note_engines()
    return broken


play(__file__, case)
