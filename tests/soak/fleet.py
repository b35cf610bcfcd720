"""A whole fleet of real processes on loopback: settings, starts, signals. Ends only what it started, by process id."""
import json
import os
import re
import signal
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from stand_in import call, document, eventually, new_id, request_headers  # noqa: E402

PROGRAM = Path("build/bin/hatchfork")
SUSPENDED_CLOCK = Path("build/lib/libsuspended-clock.so").resolve()  # see tests/suspension
FIRST_CONTROLS = 3  # named as seeds in the settings


class Process:
    """One process of the fleet, under the name of its settings file."""

    def __init__(self, folder, name, settings):
        self.name = name
        self.role = name.rsplit("-", 1)[0]
        self.file = folder / f"{name}.toml"
        self.file.write_text("\n".join(settings) + "\n")
        self.log = open(folder / f"{name}.log", "ab")
        self.child = None
        self.environment = {}  # beside that of the test
        self.program = PROGRAM

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def start(self):
        if self.is_running():
            return
        command = [str(self.program), self.role, "--settings", str(self.file)]
        self.child = subprocess.Popen(command, stdout=self.log, stderr=self.log,
                                      env={**os.environ, **self.environment})

    def send(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()


class Fleet:
    """Control processes, stores and gateways, each at an address of its own."""

    def __init__(self, folder, controls=5, stores=5, gateways=2, network="127.0.3"):
        self.folder = folder
        self.network = network
        self.controls = [f"{network}.{number}:7000" for number in range(1, controls + 1)]
        self.gateways = [f"{network}.{100 + number}:7001" for number in range(1, gateways + 1)]
        self.processes = {}
        for number in range(1, controls + 1):
            self._add(f"control-{number}", number, [f'operators = "{network}.{number}:7000"'])
        for number in range(1, stores + 1):
            self._add(f"store-{number}", 20 + number, [])
        for number in range(1, gateways + 1):
            address = f"{network}.{100 + number}"
            self._add(f"gateway-{number}", 100 + number, [f'callers = "{address}:7001"', f'readiness = "{address}:7002"'])

    def _add(self, name, number, more):
        seeds = ", ".join(f'"{address}"' for address in self.controls[:FIRST_CONTROLS])
        settings = [f'name = "{name}"', f'zone = "z{number % 3}"', f'address = "{self.network}.{number}"',
                    "control_port = 7660", "store_port = 7661", f"seeds = [{seeds}]", "engine_beat_ms = 400", "grace_s = 4"]
        if not name.startswith("gateway"):
            settings += [f'data_folder = "{self.folder}/data/{name}"', "first_start = true"]
        self.processes[name] = Process(self.folder, name, settings + more)

    def start_all(self):
        for process in self.processes.values():
            process.start()

    def mark_formed(self):
        """Later starts are no first starts: an empty folder then is a lost disk."""
        for process in self.processes.values():
            process.file.write_text(process.file.read_text().replace("first_start = true", "first_start = false"))

    def of_role(self, role):
        return [process for process in self.processes.values() if process.role == role]

    def leading_store(self):
        """The store that began to lead last, by the logs."""
        best, term = None, -1
        for store in self.of_role("store"):
            log = store.file.with_suffix(".log").read_text(errors="replace")
            for found in re.findall(r"event=executor_started term=(\d+)", log):
                if int(found) > term:
                    best, term = store, int(found)
        return best

    def kill_all(self):
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.kill()
            process.log.close()

    async def form_without_engines(self, check):
        """Starts everything and puts a first configuration."""
        self.start_all()

        async def taken():
            status, _, _ = await call(self.controls[0], "PUT", "/v1/config", document(5), timeout=2)
            return status == 200
        await eventually(check, "the first configuration is taken", taken, seconds=30)

    async def form(self, check, engines):
        """Also starts the engines, and waits until each gateway serves."""
        await self.form_without_engines(check)
        for engine in engines:
            await engine.start()
        for gateway in self.gateways:
            async def serves():
                status, _, _ = await call(gateway, "POST", "/safe/a", b"x", request_headers(), timeout=2)
                return status == 200
            await eventually(check, f"{gateway} serves", serves, seconds=30)
        self.mark_formed()

    async def submit_job(self, check, items, random):
        """Submits a job at any gateway until it is accepted, and returns its identifier."""
        job = new_id()

        async def taken():
            status, _, _ = await call(random.choice(self.gateways), "POST", "/batch/new", json.dumps({"Requests": items}),
                                      {"X-Attempt-Id": job}, timeout=2)
            return status == 202
        await eventually(check, "the job is accepted", taken, seconds=10)
        return job
