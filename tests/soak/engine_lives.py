#!/usr/bin/env python3
"""An engine ended and started again under the identifier that it had. Its new life was served from at once, but its beats counted
from one again, so that control processes that had heard the former life took them for late ones: the engine was registered and
forgotten in turns, four lines in 12 s where one is right. A late beat of the former life, which had said that it leaves, took the new
one out of service for good: no request in 4 s. Entries with an unknown state, a birth that is a text, or no slots were given requests.

Real processes on loopback: engines that start again at the same and at another address, beats of a former life that come late, and
entries of another writer.

    python3 tests/soak/engine_lives.py [--keep FOLDER]
"""
import argparse
import asyncio
import json
import shutil
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from fleet import Fleet  # noqa: E402
from stand_in import Check, Engine, call, request_headers  # noqa: E402

BEAT_S = 0.4
SERVES_AGAIN_S = 3 * BEAT_S
MALFORMED = {  # the field that the answer must name, and the entry's fields that differ
    "State": {"State": "sleeping"},
    "born": {"born": "1796253392211"},
    "Slots": {"Slots": 0},
    "Sequence": {"Sequence": "4"},
    "Service": {"Service": 7},
    "Address": {"Address": "nowhere"},
    "Zone": {"Zone": ["z1"]},
    "Slots ": {"Slots": 2.5},
    "State ": {"State": None},
    "born ": {"born": -5},
}


class Lives:
    """The fleet, two engines and what is asked of them."""

    def __init__(self, folder):
        self.folder = folder
        self.fleet = Fleet(folder, controls=5, stores=3, gateways=2, network="127.0.10")
        self.check = Check()
        self.engines = [Engine(number, 8960 + number, self.fleet.controls, event_delay=0.01) for number in range(2)]

    async def ask(self, seconds):
        """Requests of callers for that long; gives how many were served whole."""
        served = asked = 0
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            asked += 1
            try:
                status, _, _ = await call(self.fleet.gateways[asked % 2], "POST", "/safe/a", b"x", request_headers(), timeout=2)
                served += status == 200
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        return served, asked

    def registered(self, engine):
        """Lines that tell of a registration of the engine, at the control process that was called."""
        lines = [line for file in self.folder.glob("control-*.log") for line in file.read_text().splitlines()]
        return sum("event=engine_registered" in line and f"engine={engine.id} " in line for line in lines)

    async def check_restart(self, engine, port):
        before = self.registered(engine)
        await engine.stop()
        await self.ask(0.5)
        await engine.start_again(port)
        await self.ask(SERVES_AGAIN_S)
        runs = len(engine.runs)
        await self.ask(6)
        self.check.that(len(engine.runs) > runs + 20, f"{engine.id} got {len(engine.runs) - runs} requests in 6 s of its new life")
        lines = self.registered(engine) - before
        self.check.that(lines == 1, f"{engine.id} was registered {lines} times for one start")

    async def check_late_beats(self, engine, former_born):
        for control in self.fleet.controls:
            for state in ("draining", "ready"):
                body = engine.entry(State=state, Sequence=10_000, born=former_born, Address="127.0.0.1:1")
                status, _, _ = await call(control, "PUT", f"/v1/instances/{engine.id}", json.dumps(body), timeout=2)
                self.check.that(status == 200, f"a late beat is answered {status}")
        await asyncio.sleep(0.3)
        runs = len(engine.runs)
        await self.ask(4)
        self.check.that(len(engine.runs) > runs + 20,
                        f"{engine.id} got {len(engine.runs) - runs} requests in 4 s after late beats of its former life")

    async def check_malformed(self):
        """Each under an identifier of its own at a port of its own, and under one that stands."""
        strangers = []
        for number, (field, fields) in enumerate(MALFORMED.items()):
            stranger = Engine(100 + number, 8970 + number, self.fleet.controls)
            stranger.server = await asyncio.start_server(stranger.serve, "127.0.0.1", stranger.port)
            strangers.append(stranger)
            standing = self.engines[0].entry(**{"Sequence": 20_000, **fields})
            for name, entry in ((stranger.id, stranger.entry(**fields)), (self.engines[0].id, standing)):
                status, _, body = await call(self.fleet.controls[number % 5], "PUT", f"/v1/instances/{name}",
                                             json.dumps(entry), timeout=2)
                self.check.that(400 <= status < 500 and field.strip().encode() in body,
                                f"an entry with {fields} is answered {status} {body[:80]!r}")
        for raw in (b"", b"{", b"[]", b"\xff\xfe", b'"text"'):
            status, _, _ = await call(self.fleet.controls[0], "PUT", "/v1/instances/i-stranger", raw, timeout=2)
            self.check.that(400 <= status < 500, f"an entry {raw!r} is answered {status}")
        served, asked = await self.ask(4)
        self.check.that(served >= 0.97 * asked, f"only {served} of {asked} requests were served")
        for stranger in strangers:
            self.check.that(not stranger.runs and not stranger.refused, f"{stranger.id} got {len(stranger.runs)} requests")

    async def run(self):
        await self.fleet.form(self.check, self.engines)
        first, second = self.engines
        born = first.born
        await self.ask(1)
        await self.check_restart(first, first.port)
        await self.check_late_beats(first, born)
        await self.check_restart(second, second.port + 5)
        await self.check_malformed()
        for process in self.fleet.processes.values():
            self.check.that(process.is_running(), f"{process.name} ended by itself")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--keep", help="folder for settings, data and logs, kept")
    options = parser.parse_args()
    folder = Path(options.keep or tempfile.mkdtemp(prefix="engine-lives-"))
    folder.mkdir(parents=True, exist_ok=True)
    lives = Lives(folder)
    try:
        asyncio.run(lives.run())
    finally:
        lives.fleet.kill_all()
    if lives.check.failed == 0 and options.keep is None:
        shutil.rmtree(folder, ignore_errors=True)
    print(f"engine lives: broken={lives.check.failed} logs={folder}")
    sys.exit(1 if lives.check.failed else 0)


if __name__ == "__main__":
    main()
