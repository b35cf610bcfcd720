"""What soaks of planned stops play."""
from dataclasses import dataclass, replace

ROUTE_TIMEOUT_S = 6.0
SLOW_BODY_S = 0.7  # between the two halves of a body


@dataclass(frozen=True)
class Scenario:
    engines: int
    slots: int
    event_delays: tuple  # seconds between two events of ten, drawn for each request
    callers: int
    at_once: int  # gateways
    interval: float  # seconds from one stop to the next; 0: when the last has ended
    sends_at_offsets: bool = False
    late_kinds: tuple = ("talk", "speech", "safe")  # of requests at offsets
    plain_delays: tuple = (0.0,)  # seconds that a plain request takes at its engine, drawn for each
    body_pauses: tuple = (0.0, SLOW_BODY_S)  # between the two halves of a body, each at every offset
    ends_bodies_at_offsets: bool = False  # a body that begins while connections are open ends at its offset
    remaining_s: tuple = (ROUTE_TIMEOUT_S,)  # that callers wait for requests at offsets, drawn for each
    header_timeout_s: float = 1.5  # to receive a request
    stops_others: bool = False  # stores and control processes, with SIGHUP and configurations
    unframed_share: float = 0.0  # of the engines' answers: without a length, ended by a close
    has_releases: bool = False  # engines are replaced, configurations change, callers take up broken streams
    closes_first: bool = False  # engines that leave listen no more while they end their streams
    breaks_off: bool = False  # engines that leave end whatever still runs
    kinds: tuple = ("talk", "speech", "safe", "once")  # of requests, other than those at offsets


SCENARIOS = {
    "offsets": Scenario(8, 40, (0.02, 0.3, 0.5), 8, 1, 0, sends_at_offsets=True),
    "late": Scenario(8, 40, (0.02, 0.3, 0.5), 8, 1, 0, sends_at_offsets=True,
                     late_kinds=("talk", "speech", "safe", "once", "once", "batch"), plain_delays=(0.02, 1.0, 2.5, 4.5),
                     body_pauses=(0.0, SLOW_BODY_S, 1.4)),
    "bodies": Scenario(8, 40, (0.02, 0.1, 0.3), 8, 1, 0, sends_at_offsets=True, ends_bodies_at_offsets=True,
                       late_kinds=("talk", "speech", "safe", "once", "batch"), plain_delays=(0.02, 0.5),
                       body_pauses=(0.0, 0.0), remaining_s=(1.0, 2.0, ROUTE_TIMEOUT_S), header_timeout_s=10.0),
    "everything": Scenario(8, 12, (0.02, 0.1, 0.3, 0.5), 40, 1, 2.5, stops_others=True),
    "turns": Scenario(8, 12, (0.02, 0.1, 0.3, 0.5), 40, 1, 0),
    "pairs": Scenario(8, 12, (0.02, 0.1, 0.3, 0.5), 40, 2, 0),
    "overlapping": Scenario(8, 12, (0.02, 0.1, 0.3, 0.5), 40, 1, 2.5),
    "waiting": Scenario(2, 6, (0.1, 0.3, 0.5), 40, 1, 0),
    "unframed": Scenario(8, 12, (0.02, 0.1), 40, 1, 0, unframed_share=0.2),
    "releases": Scenario(8, 12, (0.02, 0.1, 0.3, 0.5), 40, 1, 4.0, plain_delays=(0.0, 0.3), has_releases=True,
                         kinds=("talk", "talk", "talk", "speech", "safe", "once")),
}


RELEASES = SCENARIOS["releases"]
SCENARIOS["releases-unframed"] = replace(RELEASES, unframed_share=0.2)
SCENARIOS["releases-closing"] = replace(RELEASES, unframed_share=0.2, closes_first=True, event_delays=(0.1, 0.3, 0.5))
SCENARIOS["releases-broken"] = replace(RELEASES, breaks_off=True, event_delays=(0.1, 0.3, 0.5))
