"""Faults of a run, drawn from its seed before it starts: which signal hits which process at which second."""
import asyncio
import random
import signal
from dataclasses import dataclass

FIRST_FAULT_S = 2.0
RESTART_DELAY_S = 0.3
QUIET_AT_END_S = 8.0  # everything runs again by then, so that what was accepted can end
KINDS = ["kill store", "kill stores in series", "kill all stores", "pause store", "stop store", "kill gateway",
         "stop gateway", "kill control", "pause control", "reload", "configuration", "kill all"]


@dataclass(frozen=True)
class Fault:
    at: float
    kind: str
    names: tuple
    lasts: float  # seconds until the process runs again


def draw(seed, seconds, fleet):
    """The same seed gives the same faults; they overlap where one begins before another has ended."""
    rng = random.Random(seed)
    stores, gateways, controls = ([process.name for process in fleet.of_role(role)]
                                  for role in ("store", "gateway", "control"))
    faults = []
    at = FIRST_FAULT_S
    while at < seconds - QUIET_AT_END_S:
        kind = rng.choice(KINDS)
        lasts = rng.uniform(0.1, 2.5)
        if kind == "kill stores in series":
            for number, name in enumerate(rng.sample(stores, 3)):
                faults.append(Fault(at + number * rng.uniform(0.2, 0.9), "kill", (name,), 0.3))
        elif kind in ("kill all stores", "kill all"):
            names = tuple(fleet.processes) if kind == "kill all" else tuple(stores)
            faults.append(Fault(at, "kill", names, min(lasts, 1.0)))
        elif kind in ("reload", "configuration"):
            faults.append(Fault(at, kind, tuple(fleet.processes) if kind == "reload" else (), 0))
        else:
            action, role = kind.split(" ")
            names = {"store": stores, "gateway": gateways, "control": controls}[role]
            faults.append(Fault(at, action, (rng.choice(names),), lasts))
        at += rng.uniform(0.2, 2.5)
    return sorted(faults, key=lambda fault: fault.at)


async def play(fault, fleet, change_configuration):
    """Brings one fault about, and takes it away after its time."""
    processes = [fleet.processes[name] for name in fault.names]
    if fault.kind == "configuration":
        await change_configuration()
        return
    if fault.kind == "reload":
        children = [process.child for process in processes]
        for process in processes:
            process.send(signal.SIGHUP)
        # A process that has not come to its own code yet is ended by the signal; the machine starts it again.
        await asyncio.sleep(RESTART_DELAY_S)
        for process, child in zip(processes, children):
            if child is not None and child.poll() == -signal.SIGHUP and process.child is child:
                print(f"        {process.name} was ended by SIGHUP at its start and starts again", flush=True)
                process.start()
        return
    sent = {"kill": signal.SIGKILL, "pause": signal.SIGSTOP, "stop": signal.SIGTERM}[fault.kind]
    children = [process.child for process in processes]
    for process in processes:
        process.send(sent)
    await asyncio.sleep(fault.lasts)
    for process, child in zip(processes, children):
        process.send(signal.SIGCONT)
        if fault.kind == "pause":
            continue
        while child.poll() is None:  # a planned stop takes its time; another fault may have restarted the process
            await asyncio.sleep(0.05)
        process.start()
