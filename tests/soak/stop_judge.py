"""Judges the requests of a soak of planned stops: whether each got a whole answer or a true refusal, or is excused."""
import collections
from dataclasses import dataclass, field

from stop_scenarios import ROUTE_TIMEOUT_S

GRACE_S = 8.0
LEAST_ACCEPTED_S = 3.0  # a request sent later than this after the signal is never cut off
LAST_SIXTH_S = GRACE_S * 5 / 6  # from here on, an earlier one may be cut off while its engine is at work
AFTER_GRACE_S = 1.0
LOSS_SLACK_S = 0.2
TIMING_SLACK_S = 0.1


@dataclass
class Text:
    """What a caller wants to read, with one request or, after a break, with several."""

    name: str
    body: bytes
    target: str
    events: list = field(default_factory=list)  # data, in order
    origin: str = ""  # the request that brought the first event
    names_origin: bool = False  # when it goes on


@dataclass
class Try:
    """One request on one connection."""

    request: str
    gateway: int
    kind: str
    sent_at: float = 0.0  # its last byte
    ended_at: float = 0.0
    status: int = 0
    end: str = ""  # whole, or how it broke
    events: int = 0
    number_on_connection: int = 0
    offset: float = -1.0  # after the signal, as it was planned
    remaining_s: float = ROUTE_TIMEOUT_S  # that its caller waits
    item: str = ""  # of a job
    text: Text = None  # of a stream
    content: bytes = b""  # of an answer in chunks
    seal: str = ""


@dataclass
class Stop:
    gateway: int
    at: float
    ended_at: float = 0.0
    code: int = 0


@dataclass
class Counts:
    whole: int = 0
    refused: int = 0
    unread: int = 0  # closed before anything of the answer, and never passed on
    excused: int = 0
    resumed: int = 0  # tries that go on after a break
    broken_off: int = 0  # by their engine
    exposed: int = 0  # answers of leaving engines that were under way in a stop
    not_resumed: int = 0  # of those: refused


class StopJudge:
    """The requests, stops and engines of one run, and what is found."""

    def __init__(self, check, engines):
        self.check = check
        self.engines = engines  # grows while the run lasts
        self.tries = []
        self.stops = []
        self.counts = Counts()

    def runs_of(self, request):
        return [engine for engine in self.engines if request in engine.runs]

    def stop_of(self, one):
        for stop in self.stops:
            if stop.gateway == one.gateway and stop.at - 0.001 <= one.ended_at <= stop.at + GRACE_S + AFTER_GRACE_S:
                return stop
        return None

    def is_excused(self, one, stop):
        """The request's own time was over, or its engine was at work in the last sixth of the grace period."""
        if one.ended_at >= one.sent_at + one.remaining_s - TIMING_SLACK_S:
            return True
        was_early = one.sent_at <= stop.at + LEAST_ACCEPTED_S
        worked = max((engine.last_work.get(one.request, 0) for engine in self.runs_of(one.request)), default=0)
        return was_early and worked >= stop.at + LAST_SIXTH_S

    def is_broken_off(self, one):
        """The engine that was at work on it last broke it off."""
        runs = self.runs_of(one.request)
        last = max(runs, key=lambda engine: engine.last_work.get(one.request, 0), default=None)
        return last is not None and one.ended_at >= last.broken.get(one.request, float("inf"))

    def is_exposed(self, one):
        """Its gateway was stopping and its engine leaving before it ended."""
        in_stop = any(stop.gateway == one.gateway and one.sent_at < stop.ended_at and stop.at < one.ended_at
                      for stop in self.stops)
        return in_stop and any(engine.leaves_from and engine.leaves_from < one.ended_at for engine in self.runs_of(one.request))

    def name_excused(self, one, reason):
        print(f"not whole, {reason}: {one.kind} {one.request} at gateway-{one.gateway + 1} ({one.end}, status {one.status}, "
              f"{one.events} events, number {one.number_on_connection} on its connection)")

    def judge(self, one):
        self.counts.exposed += self.is_exposed(one)
        if one.end == "whole":
            refused = one.status in (408, 421, 429, 503)
            self.counts.refused += refused
            self.counts.whole += not refused
            if refused:
                ran = self.runs_of(one.item or one.request)
                self.check.that(not ran, f"{one.request} was refused with {one.status}, yet it ran")
            return
        if self.is_broken_off(one):
            self.counts.broken_off += 1
            self.name_excused(one, "its engine broke it off")
            return
        stop = self.stop_of(one)
        if stop is None:
            self.check.that(False, f"{one} ended so far from any stop of its gateway")
            return
        passed_on = bool(self.runs_of(one.request))
        held = one.ended_at - one.sent_at > LOSS_SLACK_S
        if not passed_on and not held:
            self.counts.unread += 1
            self.name_excused(one, "never passed on")
            return
        if self.is_excused(one, stop):
            self.counts.excused += 1
            self.name_excused(one, "its time or the grace period was over")
            return
        self.check.that(False, f"{one.kind} {one.request} at gateway-{one.gateway + 1} ({one.end}, status {one.status}, "
                        f"{one.events} events, number {one.number_on_connection} on its connection): sent "
                        f"{one.sent_at - stop.at:.3f} s after the signal, ended {one.ended_at - stop.at:.3f} s after it, "
                        f"the process at {stop.ended_at - stop.at:.3f} s, passed_on={passed_on}")

    def judge_runs(self):
        """What may not be repeated ran once at most, and a success is signed by its engine."""
        statuses = collections.Counter()
        for one in self.tries:
            statuses[one.kind, one.status if one.end == "whole" else one.end] += 1
            runs = sum(engine.runs[one.request] for engine in self.runs_of(one.request))
            self.check.that(one.kind not in ("once", "speech") or runs <= 1, f"{one.kind} {one.request} ran {runs} times")
            self.check.that(one.end != "whole" or one.status != 200 or one.seal == f"seal-{one.request}",
                            f"{one.kind} {one.request} was answered with the seal {one.seal!r}")
            self.check.that(one.end != "whole" or one.status not in (400, 403, 404),
                            f"{one.kind} {one.request} was answered {one.status} by gateway-{one.gateway + 1}")
        print("answers " + " ".join(f"{kind}:{status}={count}" for (kind, status), count in sorted(statuses.items(), key=str)))
        late = [(engine.id, request) for engine in self.engines for request in engine.late]
        print(f"engines={len(self.engines)} runs_after_drain={len(late)} {late[:10]}")

    def judge_all(self):
        for one in self.tries:
            self.judge(one)
        self.judge_runs()
        for stop in self.stops:
            self.check.that(stop.code == 0, f"gateway-{stop.gateway + 1} ended with code {stop.code}")
        counts = self.counts
        print(f"tries={len(self.tries)} stops={len(self.stops)} whole={counts.whole} refused={counts.refused} "
              f"unread={counts.unread} excused={counts.excused} resumed={counts.resumed} not_resumed={counts.not_resumed} "
              f"broken_off={counts.broken_off} exposed={counts.exposed}")
