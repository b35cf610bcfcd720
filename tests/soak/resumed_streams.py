#!/usr/bin/env python3
"""A caller whose answer had broken asked for the rest of it: it named the last event that it had. The engine that took the
request sent the head of its answer and broke off before any event, and the gateway sent the request to a further engine
without the caller's event, from the beginning. The caller got the events that it had a second time, in one answer that was
closed as whole. On a recorded day one request of a resumable kind got a piece that came again after an engine had ended by a reset.
The gateway's log of such a request in a run of this test:

    event=attempt_sent engine=i-0004 caller_has=1 resume_after=1 ...
    event=attempt_ended engine=i-0004 outcome=stream_broken cause="stream: Connection reset by peer" events=0 repeated=0
    event=attempt_sent engine=i-0007 caller_has=1 resume_after=- ...
    event=request_ended outcome=answered status=200 caller_has=1 first_event=1 last_event=10 events=10

Real processes on loopback; engines that break a share of their streams at a chosen place; callers that go on by themselves
at any gateway after a break, half of them with a part in hand from the start.

    python3 tests/soak/resumed_streams.py --scenario head|anywhere|kills|unframed|closed|no-length|ended [--seed 1] [--seconds 8]
"""
import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from breaking_engine import EVENTS, BreakingEngine  # noqa: E402
from fleet import Fleet  # noqa: E402
from resuming_caller import StreamReader  # noqa: E402
from scenarios import run_scenario  # noqa: E402
from stand_in import Check, new_id, request_headers  # noqa: E402

CALLERS = 10
BREAKS = 0.3  # share of the engines' streams
MOST_TRIES = 8  # of a caller for one text
LEAST_WHOLE = 0.97  # of all texts, where no gateway is killed
PLACES = {"head": ("head",), "anywhere": ("head", "inside", "between"), "kills": ("head", "inside", "between"),
          "unframed": ("unframed",), "closed": ("closed",), "no-length": ("closed inside", "closed whole"), "ended": ("ended",)}
ENDS = 0.02  # share of the streams under which an engine ends


class ResumedStreams:
    """Callers, engines and checks of one run."""

    def __init__(self, options, folder):
        self.options = options
        self.random = random.Random(options.seed)
        self.fleet = Fleet(folder, controls=5, stores=5, gateways=3, network=options.network)
        self.check = Check()
        self.asked = {}  # request -> the event that each attempt at an engine went on after
        self.named = {}  # request -> the event that its caller named
        self.engines = [BreakingEngine(number, options.engine_port + number, self.fleet.controls, self.asked,
                                       PLACES[options.scenario], ENDS if options.scenario == "ended" else BREAKS,
                                       event_delay=0.01) for number in range(8)]
        self.answers = 0
        self.resumed = 0
        self.texts = [0, 0]  # whole, all
        self.agreed = 0  # texts that two engines in a row ended too early at the same event, which nobody can tell from their end
        self.loading = True

    async def read_texts(self):
        while self.loading:
            if self.options.scenario == "ended" and self.random.random() < 0.5:
                await self.read_without_resume(f"stream-{new_id()}")
                await self.read_plain(new_id())
                continue
            begins_with_part = self.options.scenario != "kills" and self.random.random() < 0.5
            position = self.random.randint(1, EVENTS - 1) if begins_with_part else 0
            whole = await self.read_text(f"stream-{new_id()}", position)
            self.texts[0] += whole
            self.texts[1] += 1

    async def read_without_resume(self, text):
        """On a route without resume no other engine can be asked: the text is closed as whole or seen to be cut."""
        request = new_id()
        reader = StreamReader()
        await reader.read(self.random.choice(self.fleet.gateways), "/speech/a", text.encode(), request_headers(request))
        self.answers += 1
        reached = self.check_events(request, text, 0, reader)
        is_whole = reader.status == 200 and reader.is_whole
        self.check.that(not is_whole or reached == EVENTS, f"{request} was closed as whole after event {reached} of {EVENTS}")

    async def read_text(self, text, position):
        """Goes on after each break until the answer is closed as whole; true if that happened at the last event."""
        for _ in range(MOST_TRIES):
            request = new_id()
            headers = request_headers(request)
            if position > 0:
                headers["Last-Event-Id"] = str(position)
                self.named[request] = position
                self.resumed += 1
            reader = StreamReader()
            await reader.read(self.random.choice(self.fleet.gateways), "/talk/a", text.encode(), headers)
            self.answers += 1
            reached = self.check_events(request, text, position, reader)
            if reader.status == 200 and reader.is_whole:
                has_agreed_end = reached < EVENTS and self.engines_agree(request, reached)
                self.agreed += has_agreed_end
                self.check.that(reached == EVENTS or has_agreed_end,
                                f"{request} was closed as whole after event {reached} of {EVENTS}")
                return reached == EVENTS or has_agreed_end
            if self.options.scenario == "no-length":
                has_agreed_end = reached == EVENTS and self.engines_agree(request, EVENTS)
                self.check.that(not has_agreed_end, f"{request} was cut after its last event, where two engines had closed")
            position = reached
            await asyncio.sleep(0.02)
        return False

    async def read_plain(self, text):
        """An answer that is no stream, on a route that may be repeated or not: whole or a failure."""
        reader = StreamReader()
        target = self.random.choice(("/safe/a", "/once/a"))
        await reader.read(self.random.choice(self.fleet.gateways), target, text.encode(), request_headers())
        self.answers += 1
        is_whole = reader.status == 200 and reader.is_whole
        self.check.that(not is_whole or reader.body == b"echo:" + text.encode(), f"{target} got {reader.body!r} for {text}")

    def engines_agree(self, request, event):
        """Two engines that live closed an answer of this request after the same event."""
        return sum(engine.closed.get(request, []).count(event) for engine in self.engines) >= 2

    def check_events(self, request, text, position, reader):
        """The events follow each other and what the caller had; gives the last one that it has now."""
        for number, data in reader.events:
            self.check.that(number == position + 1, f"{request} got event {number} after event {position}")
            self.check.that(data == f"{text}-{number}", f"{request} got {data!r}, which is not its own")
            position = max(position, number)
        return position

    def check_attempts(self):
        """No engine was asked to begin before what the caller had named."""
        for request, named in self.named.items():
            asked = self.asked.get(request, [])
            self.check.that(all(after >= named for after in asked),
                            f"{request} named event {named}, engines were asked to go on after {asked}")

    async def kill_gateways(self, started):
        while time.monotonic() < started + self.options.seconds - 3:
            await asyncio.sleep(0.8)
            process = self.random.choice(self.fleet.of_role("gateway"))
            print(f"{time.monotonic() - started:6.2f} s  kill {process.name}", flush=True)
            process.kill()
            await asyncio.sleep(0.3)
            process.start()

    async def check_refusals(self):
        """A caller that names no event, or a route that allows no resume, is told so, and no engine runs it."""
        for target, named in (("/talk/a", "nine"), ("/talk/a", "-1"), ("/talk/a", "9x"), ("/talk/a", "99999999999999999999"),
                              ("/speech/a", "4")):
            request = new_id()
            headers = {**request_headers(request), "Last-Event-Id": named}
            reader = StreamReader()
            await reader.read(self.fleet.gateways[0], target, b"stream-refused", headers)
            self.check.that(reader.status == 400 and b"Last-Event-Id" in reader.body,
                            f"{target} with Last-Event-Id {named!r} is answered {reader.status} {reader.body[:80]!r}")
            self.check.that(request not in self.asked, f"{target} with Last-Event-Id {named!r} reached an engine")

    async def run(self):
        await self.fleet.form(self.check, self.engines)
        await self.check_refusals()
        started = time.monotonic()
        work = [asyncio.create_task(self.read_texts()) for _ in range(CALLERS)]
        if self.options.scenario == "kills":
            work.append(asyncio.create_task(self.kill_gateways(started)))
        await asyncio.sleep(self.options.seconds)
        self.loading = False
        await asyncio.gather(*work)
        self.check_attempts()
        whole, texts = self.texts
        if self.options.scenario != "kills":
            self.check.that(whole >= LEAST_WHOLE * texts, f"only {whole} of {texts} texts were read to their end")
        self.check.that(self.agreed <= BREAKS ** 2 * self.answers, f"{self.agreed} of {self.answers} answers ended too early")
        print(f"answers={self.answers} resumed_by_callers={self.resumed} texts_whole={whole} texts={texts} agreed={self.agreed}")


if __name__ == "__main__":
    run_scenario(ResumedStreams, PLACES, __doc__, prefix="resumed-streams-", seconds=8, network="127.0.7", engine_port=8900)
