"""A small deployment on loopback for the cases 4 to 6: the programs of the deploy file as separate processes, with
settings filled from the project's own templates, and calls of clients and of the operator.

Each process has an address of its own in one 127.x.y.0/24, so that the ports can be those of a real deployment.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
CONTROL, FRONT, READY, INTERNAL, METRICS, ENGINE = 8146, 8144, 8140, (7660, 7675), 9464, 8080
ZONES = ("z0", "z1", "z2")
# Of the pages' example of a settings file (DEPLOY.md).
BOUNDS = {"GraceS": 8, "FinishS": 18, "CancelMs": 3000, "SettleMs": 1000, "AckMs": 4000, "ConfigApplyMs": 2000,
          "ContactMs": 3000, "CatchUpS": 4.7}
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


def fill(template, fields):
    """The part of the platform's template language that deploy/*.toml use."""
    def value(path, entry):
        if path == ".":
            return entry
        found = fields
        for step in path.split("."):
            if isinstance(found, list):
                found = found[int(step)]
            elif isinstance(found, dict) and step in found:
                found = found[step]
            else:
                return None
        return found

    def plain(found):
        return "" if found is None else str(found).lower() if isinstance(found, bool) else str(found)

    def section(match):
        entries, body = value(match[1], None), match[2]
        if not entries:
            return ""
        if not isinstance(entries, (list, dict)):
            return body
        keys = list(entries) if isinstance(entries, dict) else list(range(len(entries)))
        out = []
        for number, key in enumerate(keys):
            text = body.replace("{{.}}", str(entries[key])).replace("{{@}}", str(key))
            out.append(text.replace("{{,}}", "," if number + 1 < len(keys) else ""))
        return "".join(out)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: plain(value(match[1], None)), text)


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.path.write_text("")
        self.began = time.time()

    def note(self, text):
        line = f"{time.time() - self.began:8.3f} {text}"
        print(line, flush=True)
        with self.path.open("a") as file:
            file.write(line + "\n")


def free_network():
    for _ in range(50):
        network = f"127.{random.randrange(30, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (CONTROL, FRONT, INTERNAL[0], METRICS):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Fleet:
    """Five control, three store and `gateways` gateway processes, and engines, each a process."""

    def __init__(self, record, gateways=2):
        self.record = record
        self.network = free_network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="hatchfork-review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        self.processes = {}
        self.controls = [f"{self.network}.{n}:{CONTROL}" for n in range(1, 6)]
        self.gateways = [f"{self.network}.{20 + n}:{FRONT}" for n in range(1, gateways + 1)]
        self.nodes = {}
        for n in range(1, 6):
            self.nodes[f"control-{n}"] = ("control", f"{self.network}.{n}", ZONES[n % 3], "core")
        for n in range(1, 4):
            self.nodes[f"store-{n}"] = ("store", f"{self.network}.{10 + n}", ZONES[n % 3], "storage")
        for n in range(1, gateways + 1):
            self.nodes[f"gateway-{n}"] = ("gateway", f"{self.network}.{20 + n}", ZONES[n % 3], "frontend")
        self.traffic_ended = 0.0  # seconds; set by the case
        self.engine_log = self.folder / "engines.log"
        self.engine_log.write_text("")

    def settings(self, name, first):
        role, ip, zone, machine = self.nodes[name]
        fields = {"NodeName": name, "Role": role, "MachineClass": machine, "Ip": ip, "Zone": zone, "Region": "r",
                  "InternalPorts": list(INTERNAL), "Seeds": self.controls[:3], "Bootstrap": first, "HeartbeatMs": 1200,
                  "Zones": {zone_name: "r" for zone_name in ZONES},
                  "Listen": {"Front": f"{ip}:{FRONT}", "Ready": f"{ip}:{READY}", "Control": f"{ip}:{CONTROL}"},
                  "Limits": {"MemoryMb": 260}, "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
                  "Bounds": BOUNDS, "DataDir": str(self.folder / "data" / name)}
        path = self.folder / f"{name}.toml"
        path.write_text(fill((ROOT / self.roles[role]["template"]).read_text(), fields))
        return path

    def start(self, name, first=False):
        role = self.nodes[name][0]
        command = self.roles[role]["run"].split(" ")
        command = [str(self.settings(name, first)) if part.endswith("settings.toml") else part for part in command]
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)

    def start_engine(self, name, number, service, slots, weights=1):
        """`name`: its Id, new for each start. `number`: its address. `weights`: the version of its model."""
        command = [sys.executable, str(pathlib.Path(__file__).with_name("engine.py")), name,
                   f"{self.network}.{100 + number}:{ENGINE}", service, ZONES[number % 3], str(slots),
                   str(self.engine_log), str(self.record.began), ",".join(self.controls), str(weights)]
        log = (self.folder / "engines.err").open("ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        self.record.note(f"engine {name} of {service} starts at .{100 + number}, {slots} slots, weights {weights}")

    def signal(self, name, number):
        self.record.note(f"{signal.Signals(number).name} to {name}")
        os.kill(self.processes[name].pid, number)
        if number == signal.SIGKILL:
            self.processes.pop(name).wait()

    def end(self):
        for process in self.processes.values():
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    process.send_signal(number)
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def seconds(self):
        """Since the start of the case, as in the record and in the engines' log."""
        return time.time() - self.record.began

    def note_engines(self):
        """Copies the engines' log into the record."""
        for event in self.engine_events():
            more = f", after event {event['after']}" if "after" in event else ""
            self.record.note(f"at {event['at']:.3f} engine {event['engine']}, item {event['item']}: {event['what']}{more}")

    def engine_events(self):
        return [json.loads(line) for line in self.engine_log.read_text().splitlines()]

    def check_alive(self):
        """None but engines that left as planned has ended by itself."""
        for name, process in self.processes.items():
            if process.poll() not in ((None, 0) if name.startswith("i-") else (None,)):
                raise CannotRun(f"{name} ended by itself with {process.returncode}")

    async def form(self, document):
        """Starts all, sends the first configuration until it is taken, and waits until the gateways are ready."""
        for name in self.nodes:
            self.start(name, first=True)
        end = time.monotonic() + 20
        while time.monotonic() < end:
            try:
                status, _, _ = await call(self.controls[0], "PUT", "/v1/config", json.dumps(document), timeout=1)
                if status == 200:
                    break
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.2)
        else:
            raise CannotRun("no configuration was taken")
        self.record.note(f"configuration {document['Version']} acknowledged")
        for gateway in self.gateways:
            while time.monotonic() < end:
                try:
                    status, _, _ = await call(gateway.replace(str(FRONT), str(READY)), "GET", "/v1/readyz", timeout=1)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.2)
            else:
                raise CannotRun(f"{gateway} is not ready")
        self.record.note(f"all {len(self.gateways)} gateways are ready")


def document(version, routes, services, engine_slots):
    """`routes`: list of (name, prefix, type, service, more)."""
    entries = []
    for name, prefix, kind, service, more in routes:
        entries.append({"Name": name, "Host": HOST, "PathPrefix": prefix, "Type": kind, "TimeoutMs": 30000,
                        "TargetLatencyMs": 400, "Priority": 2, "Service": service, "MaxAttempts": 3,
                        "SessionAffinity": True, "AllowResume": True, "GapAimMs": 500, **more})
    return {"Version": version, "Routes": entries,
            "Services": [{"Name": service, "HealthPath": "/healthz", "MaxConnections": 200, "Protocol": "h1",
                          "Tls": False, "Engine": {"Slots": engine_slots, "KvCacheTokens": 147261}}
                         for service in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}


async def call(address, method, target, body="", headers=None, timeout=4.0):
    """One request on a connection of its own. Gives status, headers and the whole body."""
    async def run():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            content = body.encode() if isinstance(body, str) else body
            lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
            if content or method in ("POST", "PUT"):
                lines += ["Content-Type: application/json", f"Content-Length: {len(content)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            fields = {k.lower(): v for k, v in (line.split(": ", 1) for line in head[1:] if line)}
            answer = await reader.readexactly(int(fields.get("content-length", 0)))
            return int(head[0].split(" ")[1]), fields, answer
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


def new_id():
    return f"{random.getrandbits(64):016x}"


def job_body(items, prefix, headers):
    """`items`: list of (id, body, events)."""
    requests = [{"Id": item, "Path": f"{prefix}3/{item}",
                 "Headers": {"X-Model": "m", "X-Token-Usage": f"540,{events}", **headers},
                 "Body": base64.b64encode(body).decode(), "TokenCount": 540 + events} for item, body, events in items]
    return json.dumps({"Requests": requests})


async def submit(fleet, gateway, job, prefix, items, headers=None, timeout=4.0):
    """One send of a batch job whose items carry `headers` besides the usual ones; the status, or None without an answer."""
    try:
        status, _, _ = await call(gateway, "POST", f"{prefix}{job}", job_body(items, prefix, headers or {}),
                                  {"X-Attempt-Id": job}, timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        status = None
    fleet.record.note(f"batch job {job} sent to {gateway}: {status if status else 'no answer, connection closed'}")
    return status


async def submit_until_taken(fleet, job, prefix, items, headers=None):
    """Sends the same batch job again, to the next gateway, until it gets its 202."""
    for attempt in range(10):
        if await submit(fleet, fleet.gateways[attempt % len(fleet.gateways)], job, prefix, items, headers) == 202:
            return
        await asyncio.sleep(0.5)
    raise CannotRun(f"batch job {job} was never accepted")


async def read_results(fleet, job, gateway=None):
    """All results of a batch job, or None if no gateway answers 200."""
    results = []
    for attempt in range(6):
        try:
            status, _, body = await call(gateway or fleet.gateways[attempt % len(fleet.gateways)], "GET",
                                         f"/v1/lots/{job}?SinceRev={len(results)}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            continue
        if status != 200:
            fleet.record.note(f"read of batch job {job}: {status}")
            await asyncio.sleep(0.3)
            continue
        page = json.loads(body)
        results += page["Results"]
        if not page["Results"] or page["NextToken"] == page["Total"]:
            return results
    return None


def spans(events):
    """What ran: (engine, item, begin, end or None), from the engines' log."""
    found = {}
    for event in events:
        key = (event["engine"], event["item"])
        if event["what"] == "began":
            found.setdefault(key, []).append([event["at"], None])
        elif event["what"] in ("finished", "answered 500") or event["what"].startswith("dropped"):
            found[key][-1][1] = event["at"]
    return [(engine, item, begin, end) for (engine, item), runs in found.items() for begin, end in runs]


async def unlisted_at_the_end(fleet, job, items, engines, slots):
    """The rule LOST about FinishS, as written, for one batch job that is still open. To be called when FinishS is over.

    `engines`: names of the engines of its route's service that run; `slots`: of each."""
    now = fleet.seconds()
    results = await read_results(fleet, job)
    if results is None:
        raise CannotRun(f"batch job {job} can't be read")
    listed = {result["Id"]: result["State"] for result in results}
    fleet.record.note(f"batch job {job}: {len(listed)} of {len(items)} items are listed: {sorted(listed.values())}")
    missing = [item for item, _, _ in items if item not in listed]
    events = fleet.engine_events()
    failed = {event["item"] for event in events if event["what"] == "answered 500" and event["at"] > now - 20}
    missing = [item for item in missing if item not in failed]
    runs = [run for run in spans(events) if run[0] in engines]
    had = [run for run in runs if run[1] in missing and (run[3] is None or run[3] > now - 5)]
    finished = [event for event in events if event["what"] == "finished" and event["at"] > now - 3]
    most = 0
    for moment in [now - 5 + step / 10 for step in range(51)]:
        busy = sum(1 for _, _, begin, end in runs if begin <= moment and (end is None or end > moment))
        most = max(most, busy)
    fleet.record.note(f"its engines in the last 5 s: at most {most} of {slots * len(engines)} places taken, "
                      f"{len(had)} runs of its unlisted items; items finished in the last 3 s: {len(finished)}")
    if had or finished or 2 * most >= slots * len(engines):
        return []
    return [f"LOST: item {item} is neither complete nor errored {now - fleet.traffic_ended:.1f} s after the end of "
            f"traffic (FinishS {BOUNDS['FinishS']})" for item in missing]


def play(name, case, gateways=2):
    """Runs `case(fleet, trouble)`, which returns the list of what broke the rule, and exits as the review asks."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes end on the way out
    record = Record(pathlib.Path(name).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"with the disruption: {trouble}")
    code = 2
    fleet = None
    try:
        fleet = Fleet(record, gateways)
        broken = asyncio.run(case(fleet, trouble))
        for text in broken:
            record.note(f"BROKEN: {text}")
        code = 1 if broken else 0
    except Exception as problem:  # an error of the script itself is no broken rule
        record.note(f"could not run: {type(problem).__name__}: {problem}")
    finally:
        if fleet is not None:
            fleet.end()
    record.note({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
