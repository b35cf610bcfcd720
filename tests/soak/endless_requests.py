#!/usr/bin/env python3
"""Clients ended a process: what they sent without end was held until it could be understood, and counted by no limit.

Real processes on loopback, with the memory of a small machine in their settings. A crowd of clients sends to one port.

    python3 tests/soak/endless_requests.py --scenario trailers|extensions|heads|nested|numbers|fields|bodies|allowed

trailers: behind a body in chunks; extensions: of one chunk; heads: of the header. nested, numbers: jobs whose bodies are
within the limits, of arrays in arrays, of small numbers. fields: headers within the limits, of the shortest fields, whose
bodies do not come. bodies: long ones that do not end, at the ports of a gateway whose requests need none.
allowed: requests at the limits, one at a time: each is served.

For each port of a gateway and of a control process (trailers, extensions, heads), or for the port that takes such bodies:
the process lives on, its memory and its open descriptors stay within bounds, and it answers an ordinary request afterwards.
"""
import asyncio
import json
import os
import random
import re
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from fleet import Fleet  # noqa: E402
from scenarios import run_scenario  # noqa: E402
from stand_in import HOST, Check, Engine, call, document, eventually, new_id, read_head, request_headers  # noqa: E402

CROWD = 12  # clients at one port
SENT_BY_EACH = 40 << 20  # bytes at most
PIECE = 64 << 10
MEMORY_MB = 96  # of a gateway, and of a control process
MOST_DESCRIPTORS = 150  # once the crowd has left
LONG_BODY = 16 << 20
BODY = 4 << 20  # of a job: the largest body of the settings
MOST_WAIT_S = 90  # for the crowd to be let go, or to have sent all
CALL_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError)


@dataclass
class Attack:
    """What each client of a crowd sends."""

    head: bytes = b""
    endless: bytes = b""  # sent again and again
    once: bytes = b""
    crowd: int = CROWD
    most: int = SENT_BY_EACH
    understood: int = 0  # status that shows that the process has taken in what is sent once


def post(target, *fields):
    return "\r\n".join([f"POST {target} HTTP/1.1", f"Host: {HOST}", *fields, "", ""]).encode()


CHUNKED = post("/safe/a", f"X-Attempt-Id: {new_id()}", "Transfer-Encoding: chunked")
PADDING = b"x" * 1000


def job_body(filling):
    """A job whose document is as long as allowed."""
    start, end = b'{"Requests":', b"}"
    return start + filling(BODY - len(start) - len(end)) + end


def nested(size):
    return b"[" * (size // 2) + b"]" * (size // 2)


def numbers(size):
    return b"[" + b"1," * ((size - 3) // 2) + b"1]"


def job_of(filling):
    body = job_body(filling)
    return post("/batch/new", f"X-Attempt-Id: {new_id()}", f"Content-Length: {len(body)}") + body


SHORT_FIELDS = [f"{name}:" for name in ("a", "b", "c", "d")] * 900  # within 16,384 bytes

SCENARIOS = {
    "trailers": Attack(head=CHUNKED + b"4\r\nbody\r\n0\r\n", endless=b"a: " + PADDING + b"\r\n"),
    "extensions": Attack(head=CHUNKED + b"4;a=", endless=PADDING),
    "heads": Attack(head=b"POST /safe/a HTTP/1.1\r\n", endless=b"a: " + PADDING + b"\r\n"),
    "nested": Attack(once=job_of(nested), understood=400),
    "numbers": Attack(once=job_of(numbers), understood=400),
    "bodies": Attack(head=post("/", f"Content-Length: {LONG_BODY}"), endless=PADDING, most=LONG_BODY, understood=413),
    "allowed": Attack(),
    "fields": Attack(once=post("/safe/a", "Content-Length: 100", *SHORT_FIELDS), crowd=400, understood=408),
}
REFUSALS = (400, 408, 413, 431, 503)
def at_limits():
    """Requests at the limits of the settings, with the status of each."""
    many_fields = post("/safe/a", f"X-Attempt-Id: {new_id()}", "X-Time-Remaining-Ms: 4000", "Content-Length: 1", *SHORT_FIELDS)
    long_body = post("/safe/a", f"X-Attempt-Id: {new_id()}", "X-Time-Remaining-Ms: 4000", f"Content-Length: {BODY}")
    chunks = (b"%x;name=value\r\n" % PIECE + b"x" * PIECE + b"\r\n") * (BODY // PIECE)
    trailers = b"0\r\n" + (b"X-Late: " + PADDING + b"\r\n") * 12 + b"\r\n"
    chunked = post("/safe/a", f"X-Attempt-Id: {new_id()}", "X-Time-Remaining-Ms: 4000", "Transfer-Encoding: chunked")
    items = [{"Id": new_id(), "Path": "/batch/a", "Headers": {"X-Model": "m", "X-Token-Usage": "10,10"},
              "Body": "c3RyZWFt" * 2500, "TokenCount": 20} for _ in range(200)]
    job = json.dumps({"Requests": items}).encode()
    submission = post("/batch/new", f"X-Attempt-Id: {new_id()}", f"Content-Length: {len(job)}")
    return [("a header of many fields", many_fields + b"x", 200), ("a long body", long_body + b"x" * BODY, 200),
            ("a long body in chunks with trailers", chunked + chunks + trailers, 200), ("a long job", submission + job, 202)]


AT_ALL_PORTS = ("trailers", "extensions", "heads")


class EndlessRequests:
    def __init__(self, options, folder):
        self.options = options
        self.attack = SCENARIOS[options.scenario]
        self.check = Check()
        self.fleet = Fleet(folder, controls=3, stores=3, gateways=1, network=options.network)
        for process in self.fleet.of_role("gateway") + self.fleet.of_role("control"):
            process.file.write_text(process.file.read_text() + f'memory_mb = {MEMORY_MB}\nmetrics = "9464/metrics"\n')
        self.answers = {}  # status -> how many clients got it
        self.engines = [Engine(0, options.engine_port, self.fleet.controls, slots=50)]

    def ports(self):
        """Process, address and an ordinary request with its status, for each port under attack."""
        gateway, control = self.fleet.processes["gateway-1"], self.fleet.processes["control-1"]
        host = self.fleet.gateways[0].split(":")[0]
        ports = [(gateway, self.fleet.gateways[0], ("POST", "/safe/a"))]
        if self.options.scenario == "bodies":
            return [(gateway, f"{host}:7002", ("GET", "/v1/readyz")), (gateway, f"{host}:9464", ("GET", "/metrics"))]
        if self.options.scenario in AT_ALL_PORTS:
            ports += [(gateway, f"{host}:7002", ("GET", "/v1/readyz")), (gateway, f"{host}:9464", ("GET", "/metrics")),
                      (control, self.fleet.controls[0], ("GET", "/v1/config"))]
        return ports

    async def send(self, address):
        """One client: sends until all is sent, or until it is let go. What is sent once is waited for until it is answered."""
        host, port = address.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return 0
        sent = 0
        try:
            writer.write(self.attack.head + self.attack.once)
            piece = self.attack.endless * (PIECE // max(1, len(self.attack.endless)))
            while piece and sent + len(piece) <= self.attack.most:
                writer.write(piece)
                await asyncio.wait_for(writer.drain(), MOST_WAIT_S)
                sent += len(piece)
            if self.attack.understood:
                status, _ = await asyncio.wait_for(read_head(reader), MOST_WAIT_S)
                self.answers[status] = self.answers.get(status, 0) + 1
        except CALL_ERRORS:
            pass
        finally:
            writer.transport.abort()
        return sent

    async def serve_allowed(self):
        process, address, _ = self.ports()[0]
        host, port = address.split(":")
        small = [{"Id": new_id(), "Path": "/batch/a", "Headers": {}, "Body": "c3RyZWFt", "TokenCount": 20}]
        await self.fleet.submit_job(self.check, small, random)  # the stores have a leader
        for name, request, wanted in at_limits():
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            status, _ = await asyncio.wait_for(read_head(reader), MOST_WAIT_S)
            writer.transport.abort()
            self.check.that(status == wanted, f"{name} of {len(request)} bytes is answered {status}")
            print(f"{name}: bytes={len(request)} status={status} peak_mb={self.peak_mb(process):.0f}", flush=True)
        self.check.that(self.peak_mb(process) < MEMORY_MB, f"{process.name} grew to {self.peak_mb(process):.0f} MB")

    def peak_mb(self, process):
        status = Path(f"/proc/{process.child.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) / 1024

    async def attack_port(self, process, address, ordinary):
        sent = await asyncio.gather(*(self.send(address) for _ in range(self.attack.crowd)))
        if not process.is_running():
            self.check.that(False, f"{process.name} ended under clients at {address}")
            return
        peak = self.peak_mb(process)
        self.check.that(peak < MEMORY_MB, f"{process.name} grew to {peak:.0f} MB under clients at {address}")

        async def has_closed():
            return len(os.listdir(f"/proc/{process.child.pid}/fd")) <= MOST_DESCRIPTORS
        await eventually(self.check, f"{process.name} closes the descriptors of clients at {address}", has_closed, seconds=60)
        if self.attack.understood:
            self.check.that(self.attack.understood in self.answers and set(self.answers) <= set(REFUSALS),
                            f"clients at {address} were answered {self.answers}, {self.attack.understood} is wanted")
        method, target = ordinary

        async def answers():
            body, headers = (b"x", request_headers()) if method == "POST" else (b"", {})
            status, _, _ = await call(address, method, target, body, headers, timeout=8)
            return status == 200
        await eventually(self.check, f"{process.name} answers at {address} afterwards", answers, seconds=60)
        print(f"{address}: clients={self.attack.crowd} sent_mb={sum(sent) >> 20} peak_mb={peak:.0f} answers={self.answers}", flush=True)

    async def run(self):
        await self.fleet.form(self.check, self.engines)
        text = document(6).replace('"MaxBodyBytes": 1048576', f'"MaxBodyBytes": {BODY}').replace('"HeaderTimeoutMs": 1500', '"HeaderTimeoutMs": 6000')

        async def taken():
            status, _, _ = await call(self.fleet.controls[0], "PUT", "/v1/config", text, timeout=2)
            return status == 200
        await eventually(self.check, "the configuration with long bodies is taken", taken, seconds=30)

        async def takes_long_bodies():
            status, _, _ = await call(self.fleet.gateways[0], "POST", "/safe/a", PADDING * 2000, request_headers(), timeout=8)
            return status == 200
        await eventually(self.check, "the gateway takes long bodies", takes_long_bodies, seconds=30)
        if self.options.scenario == "allowed":
            return await self.serve_allowed()
        for process, address, ordinary in self.ports():
            await self.attack_port(process, address, ordinary)


if __name__ == "__main__":
    run_scenario(EndlessRequests, SCENARIOS, __doc__, prefix="endless-requests-", seconds=0, network="127.0.37",
                 engine_port=9540)
