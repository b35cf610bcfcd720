#!/usr/bin/env python3
"""Prints how a fleet that started as a whole came back, from the log lines of its processes.

    tools/start_timeline.py LOG... [--after SECONDS]

Each line of a log may begin with a time of its own and the node's name; then that time is used, else `ts=`. A start of the
whole is a time within which most processes began (lines `*_started`, or the first `start_step`). The last such start is
printed: for each step and role when the first, the median and the last process reached it, in seconds after the first
process began, and how long the median and the slowest process took from its own beginning; then what callers met.
"""
import argparse
import re
import statistics

LINE = re.compile(r"ts=(?P<ts>[\d.]+) level=\w+ node=(?P<node>\S+) event=(?P<event>\S+)(?P<rest>.*)")
FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
STARTED = {"gateway_started": "gateway", "control_started": "control", "store_started": "store"}
# What logs without `start_step` tell of the same steps.
OLD_STEPS = {
    "replica_opened": "log_read", "leadership_won": "leadership_won", "feed_fresh": "feed_fresh",
    "routes_in_force": "routes_in_force", "crash_notes_awaited": "crash_notes_awaited",
    "store_connected": "store_linked", "peer_connected": "peer_linked",
}
# Processes that begin further apart than this do not start as a whole.
MOST_GAP_S = 1.5
# A process writes its line `*_started` this long after its first step at the most.
MOST_BEFORE_STARTED_S = 0.25


def read(files):
    """All lines as (time, node, event, fields), by time."""
    lines = []
    for name in files:
        with open(name, errors="replace") as file:
            for text in file:
                found = LINE.search(text)
                if not found:
                    continue
                head = text[:found.start()].split()
                try:
                    at = float(head[0])
                except (IndexError, ValueError):
                    at = float(found["ts"])
                fields = {key: value.strip('"') for key, value in FIELD.findall(found["rest"])}
                lines.append((at, found["node"], found["event"], fields))
    lines.sort(key=lambda line: line[0])
    return lines


def starts_of_whole(lines):
    """Lists of (time, node, role), one for each time at which at least half of all nodes began."""
    begun = [(at, node, STARTED[event]) for at, node, event, _ in lines if event in STARTED]
    groups = []
    for entry in begun:
        if groups and entry[0] - groups[-1][-1][0] < MOST_GAP_S:
            groups[-1].append(entry)
        else:
            groups.append([entry])
    nodes = len({node for _, node, _ in begun})
    return [group for group in groups if len({node for _, node, _ in group}) * 2 >= nodes]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--after", type=float, default=float("-inf"), help="only starts after this time")
    options = parser.parse_args()
    lines = [line for line in read(options.logs) if line[0] >= options.after]
    groups = starts_of_whole(lines)
    if not groups:
        print("no start of the whole")
        return
    group = groups[-1]
    role_of = {node: role for _, node, role in group}
    own_start = {node: at for at, node, _ in group}
    began = group[0][0]
    steps = {}
    for at, node, event, fields in lines:
        if node not in own_start:
            continue
        step = fields.get("step") if event == "start_step" else OLD_STEPS.get(event)
        # Steps before `*_started`, such as the log read, belong to this start as well.
        if step is None or at < own_start[node] - MOST_BEFORE_STARTED_S or fields.get("before", "0") != "0":
            continue
        steps.setdefault((role_of[node], step), {}).setdefault(node, at)
    for at, node, role in group:
        steps.setdefault((role, "started"), {}).setdefault(node, at)
    count = {role: sum(1 for one in role_of.values() if one == role) for role in set(role_of.values())}
    print(f"start of {len(role_of)} processes at {began:.2f}: " +
          ", ".join(f"{count[role]} {role}" for role in sorted(count)))
    print(f"{'role':8} {'step':22} {'nodes':>5} {'first':>7} {'median':>7} {'last':>7} {'own':>7} {'own last':>8}")
    for (role, step), reached in sorted(steps.items(), key=lambda item: (item[0][0], min(item[1].values()))):
        times = [at - began for at in reached.values()]
        own = [at - own_start[node] for node, at in reached.items()]
        print(f"{role:8} {step:22} {len(times):5} {min(times):7.3f} {statistics.median(times):7.3f} {max(times):7.3f} "
              f"{statistics.median(own):7.3f} {max(own):8.3f}")
    refused = {}
    held = []
    for at, node, event, fields in lines:
        if at < began:
            continue
        if event == "request_refused" and at < began + 3:
            refused.setdefault(fields.get("cause", "?"), []).append(at - began)
        if event == "request_held":
            held.append((fields.get("outcome", "?"), int(fields.get("waited_ms", 0))))
    for cause, times in sorted(refused.items(), key=lambda item: -len(item[1]))[:8]:
        print(f"refused {len(times):5} from {min(times):.3f} to {max(times):.3f}: {cause}")
    for outcome in sorted({outcome for outcome, _ in held}):
        waits = [waited for one, waited in held if one == outcome]
        print(f"held    {len(waits):5} {outcome}: median {statistics.median(waits):.0f} ms, longest {max(waits)} ms")


if __name__ == "__main__":
    main()
