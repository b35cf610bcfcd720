#!/usr/bin/env python3
"""An upgrade in place and back: each process of a fleet is replaced by one of another release, one after the other,
under online requests, streams, batch jobs, a tenant with a limit and changes of the configuration.

    python3 tests/soak/mixed_releases.py --old PROGRAM --new PROGRAM [--seed 1] [--folder DIR] [--network 127.0.5]

Called by tools/mixed_releases.sh, which builds the production release. Exit code 1 and lines that begin with FAILED if
a promise is broken; the logs stay in the folder then.
"""
import argparse
import asyncio
import re
import signal
import sys
import time
from pathlib import Path

import soak as soaks  # makes the others known
import job_results
from stand_in import call, document, eventually, new_id, request_headers

RATE = 10  # requests a second of the limited tenant
BURST = 10
WINDOW_S = 5.0  # over which the limit is judged
SLACK = 0.1  # of rate and window, that changes of owner may cost
LIMITED_KEY = "key-limited"
FREE_KEY = "key-free"
PAUSE_S = (0.3, 1.2)  # between two processes
STOP_S = 12.0  # a planned stop takes no longer
LINES_OF_FAILURE = re.compile(r"frame_refused|replica_folder_damaged|peer_message_refused|engines_unreadable|malformed")


def tenant(name, key, rate=0, burst=0):
    return {"Name": name, "ApiKeys": [key], "Priority": 0, "RatePerS": rate, "Burst": burst}


def headers_of_free(request=None, remaining=4000, key=FREE_KEY):
    return request_headers(request, remaining, key)


async def call_as_free(address, method, target, body=b"", headers=None, timeout=8, source=None):
    headers = {"Authorization": f"Bearer {FREE_KEY}", **(headers or {})}
    return await call(address, method, target, body, headers, timeout, source)


# The soak's own callers are the tenant without a limit.
soaks.request_headers = headers_of_free
soaks.call = call_as_free
job_results.call = call_as_free

TENANTS = [tenant("limited", LIMITED_KEY, RATE, BURST), tenant("free", FREE_KEY)]


class MixedReleases(soaks.Soak):
    """The soak's callers and checks; in place of its faults, planned replacements."""

    def __init__(self, options, folder):
        super().__init__(options, folder)
        for process in self.fleet.processes.values():
            process.program = options.old
            process.environment = {}
        self.limited_refused = 0

    async def form(self):
        await self.fleet.form(self.check, self.engines)
        self.gateways = list(self.fleet.gateways)

        async def taken():
            return await self.put_configuration()
        await eventually(self.check, "a configuration with tenants is taken", taken, seconds=10)
        await eventually(self.check, "a job is accepted", self.submit_job, seconds=30)

    async def put_configuration(self):
        self.version += 1
        version = self.version
        for control in self.random.sample(self.fleet.controls, len(self.fleet.controls)):
            try:
                status, _, _ = await call(control, "PUT", "/v1/config", document(version, [], TENANTS), timeout=2)
            except soaks.CALL_ERRORS:
                continue
            if status == 200:
                self.acknowledged = max(self.acknowledged, version)
                return True
        return False

    async def change_configuration(self):
        while self.loading:
            await self.put_configuration()
            await asyncio.sleep(1.0)

    async def ask_limited(self):
        """A tenant that asks for three times what its limit allows."""
        while self.loading:
            request = new_id()
            try:
                status, _, _ = await call(self.random.choice(self.fleet.gateways), "POST", "/safe/limited", b"plain",
                                          request_headers(request, key=LIMITED_KEY), timeout=6)
            except soaks.CALL_ERRORS:
                continue
            if status == 429:
                self.limited_refused += 1
                self.check.that(self.runs_of(request) == 0, f"{request} got 429 and ran")
            await asyncio.sleep(1 / (3 * RATE))

    async def replace(self, process, program):
        """A planned stop, then a start with the other program: never more than one process at a time. Callers turn away
        from a gateway before it stops, and come back once it serves."""
        child = process.child
        gateway = self.gateways[int(process.name.rsplit("-", 1)[1]) - 1] if process.role == "gateway" else None
        if gateway:
            self.fleet.gateways.remove(gateway)
        self.check.that(child.poll() is None, f"{process.name} ended by itself with {child.poll()}")
        process.send(signal.SIGTERM)
        end = time.monotonic() + STOP_S
        while child.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        self.check.that(child.poll() == 0, f"{process.name} stopped with {child.poll()} in {STOP_S:.0f} s")
        process.kill()
        process.program = program
        process.start()
        if gateway:
            await self.see_gateway_serve(gateway)
            self.fleet.gateways.append(gateway)
        await asyncio.sleep(self.random.uniform(*PAUSE_S))

    async def replace_all(self, program, label):
        processes = list(self.fleet.processes.values())
        self.random.shuffle(processes)
        for number, process in enumerate(processes, 1):
            await self.replace(process, program)
            print(f"{label}: {number} of {len(processes)}: {process.name}", flush=True)
        await self.see_fleet_serve(label)

    async def see_gateway_serve(self, gateway):
        async def serves():
            status, _, _ = await call(gateway, "POST", "/safe/a", b"x", headers_of_free(), timeout=2)
            return status == 200
        await eventually(self.check, f"{gateway} serves", serves, seconds=10)

    async def see_fleet_serve(self, label):
        """Each gateway serves, and a change that was made now is read back everywhere."""
        async def changed():
            return await self.put_configuration()
        await eventually(self.check, f"{label}: a change is taken", changed, seconds=10)
        wanted = self.acknowledged
        for gateway in self.gateways:
            await self.see_gateway_serve(gateway)
        for control in self.fleet.controls:
            async def reads():
                status, _, body = await call(control, "GET", "/v1/config", timeout=2)
                return status == 200 and soaks.json.loads(body)["Version"] >= wanted
            await eventually(self.check, f"{label}: {control} reads version {wanted}", reads, seconds=10)

    def check_limit(self):
        """At engines, since refusals are only told: in no window more than the rate gives, the burst and the slack."""
        times = sorted(at for engine in self.engines for entries in engine.told_deadlines.values()
                       for at, _, target in entries if target == "/safe/limited")
        most = RATE * WINDOW_S * (1 + SLACK) + BURST
        worst = max((sum(start <= at < start + WINDOW_S for at in times) for start in times), default=0)
        print(f"limited tenant: {len(times)} runs, {self.limited_refused} refused, at most {worst} in {WINDOW_S:.0f} s "
              f"({most:.0f} allowed)")
        self.check.that(worst <= most, f"{worst} requests of the limited tenant ran in {WINDOW_S:.0f} s, over {most:.0f}")
        self.check.that(len(times) > RATE, "the limited tenant is served")
        self.check.that(self.limited_refused > 0, "the limited tenant is refused above its limit")

    def check_online(self):
        """Planned work loses no request; what is refused has not run, which the soak checks for each."""
        self.check.that(self.online["failed"] == 0, f"{self.online['failed']} online requests got no answer")
        self.check.that(self.online["served"] > 100, f"only {self.online['served']} online requests were served")

    def check_processes(self):
        for process in self.fleet.processes.values():
            ended = process.child.poll()
            self.check.that(ended is None, f"{process.name} ended by itself with {ended}")
            log = (self.fleet.folder / f"{process.name}.log").read_text(errors="replace")
            lines = [line for line in log.splitlines() if LINES_OF_FAILURE.search(line)]
            self.check.that(not lines, f"{process.name} could not read what another release said: {lines[:2]}")

    async def run(self):
        await self.form()
        await self.see_fleet_serve("old")
        work = [asyncio.create_task(task) for task in
                (self.submit_jobs(), self.read_jobs(), self.read_configuration(), self.change_configuration(),
                 self.ask_limited(), *(self.ask_online() for _ in range(3)), *(self.read_streams() for _ in range(2)))]
        await self.replace_all(self.options.new, "to new")
        await self.replace_all(self.options.old, "back to old")
        await self.replace_all(self.options.new, "to new again")
        self.loading = False
        await asyncio.gather(*work)
        await self.finish_jobs()
        self.check_runs()
        self.check_limit()
        self.check_online()
        self.check_processes()
        self.report(3 * len(self.fleet.processes))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--old", type=Path, required=True)
    parser.add_argument("--new", type=Path, default=Path("build/bin/hatchfork"))
    parser.add_argument("--seed", type=int, default=1)
    soaks.add_fleet_arguments(parser, stores=4, network="127.0.5", engine_port=8700)
    options = parser.parse_args()
    return soaks.run_soak(MixedReleases, options, "hatchfork-mixed-")


if __name__ == "__main__":
    sys.exit(main())
