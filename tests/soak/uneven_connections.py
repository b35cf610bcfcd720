#!/usr/bin/env python3
"""Most new connections of a zone go to one of its gateways, for some seconds more of them than before, and then to
another one. What each gateway assumes of its share of the load must not keep callers from being served.

    python3 tests/soak/uneven_connections.py --scenario plain|limit|batch|open|kept [--seed 1]

Real processes on loopback; each request opens a connection of its own. plain: one route without a limit. limit: a
tenant with a limit above what it asks. batch: a batch job beside it. open: many more connections that send nothing.
kept: callers that keep their connections, at that gateway too. Counted: requests served at the first attempt, in the
seconds before, and from 3 s after most connections go to one gateway, for each of the two.
"""
import asyncio
import base64
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from fleet import Fleet  # noqa: E402
from scenarios import run_scenario  # noqa: E402
from stand_in import HOST, Check, Engine, call, document, eventually, new_id, request_headers  # noqa: E402

SCENARIOS = ("plain", "limit", "batch", "open", "kept")
ENGINES = 12
RATE = 120.0  # requests a second before
MORE = 1.5  # times as many while most go to one gateway
SHARE = 0.95  # of the connections
EVEN_S = 6.0
UNEVEN_S = 8.0
CONTACT_S = 3.0
WARM_UP_S = 1.5
LEAST = 0.75  # of the share before
LIMIT = 250
OPEN_CONNECTIONS = 600
KEPT_CONNECTIONS = 40
ITEMS = 100
CALL_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError)
KEY = "key-of-a"


class UnevenConnections:
    """Callers, engines and checks of one run."""

    def __init__(self, options, folder):
        self.options = options
        self.random = random.Random(options.seed)
        self.fleet = Fleet(folder, controls=5, stores=5, gateways=6, network=options.network)
        for gateway in self.fleet.of_role("gateway"):
            gateway.file.write_text(gateway.file.read_text() + "memory_mb = 160\n")
        self.check = Check()
        self.engines = [Engine(number, options.engine_port + number, self.fleet.controls) for number in range(ENGINES)]
        self.served = {"even": [], "first": [], "second": []}
        self.favoured = None
        self.writers = []
        self.loading = True

    def key(self):
        return KEY if self.options.scenario == "limit" else None

    def gateway(self):
        if self.favoured is not None and self.random.random() < SHARE:
            return self.favoured
        return self.random.choice(self.fleet.gateways)

    async def send(self, span):
        request = new_id()
        wanted = "".join(f"id: {n}\ndata: {request}-{n}\n\n" for n in range(1, 11)).encode()
        headers = request_headers(request, key=self.key())
        try:
            status, _, answer = await call(self.gateway(), "POST", "/talk/a", b"stream", headers, timeout=6)
            is_served = status == 200 and answer == wanted
        except CALL_ERRORS:
            is_served = False
        if span is not None:
            self.served[span].append(is_served)

    async def load(self, seconds, rate, span, counted_after):
        tasks = []
        began = time.monotonic()
        while time.monotonic() < began + seconds:
            counted = span if time.monotonic() > began + counted_after else None
            tasks.append(asyncio.create_task(self.send(counted)))
            await asyncio.sleep(self.random.expovariate(rate))
        await asyncio.gather(*tasks)

    async def open_many(self, address):
        """Connections that send nothing."""
        host, port = address.split(":")
        for _ in range(OPEN_CONNECTIONS):
            try:
                _, writer = await asyncio.open_connection(host, int(port))
                self.writers.append(writer)
            except OSError:
                return

    async def keep_connection(self, address):
        """One caller that sends its requests one after the other on one connection."""
        host, port = address.split(":")
        while self.loading:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                while self.loading:
                    lines = [f"{name}: {value}" for name, value in request_headers().items()]
                    writer.write("\r\n".join(["POST /safe/a HTTP/1.1", f"Host: {HOST}", "Content-Length: 1", *lines,
                                              "", "x"]).encode())
                    head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 6)).decode().lower()
                    length = int(head.split("content-length: ")[1].split("\r\n")[0])
                    await reader.readexactly(length)
                    await asyncio.sleep(self.random.uniform(0.2, 0.6))
                writer.close()
            except CALL_ERRORS:
                await asyncio.sleep(0.1)

    async def submit_job(self):
        items = [{"Id": new_id(), "Path": f"/batch/{number}", "Headers": {"X-Token-Usage": "10,10"},
                  "Body": base64.b64encode(b"stream").decode(), "TokenCount": 20} for number in range(ITEMS)]
        job = new_id()

        async def taken():
            status, _, _ = await call(self.gateway(), "POST", "/batch/new", json.dumps({"Requests": items}),
                                      {"X-Attempt-Id": job}, timeout=2)
            return status == 202
        await eventually(self.check, "the job is accepted", taken, seconds=10)

    async def put_tenant(self):
        tenant = {"Name": "a", "ApiKeys": [KEY], "Priority": 0, "RatePerS": LIMIT, "Burst": LIMIT}

        async def taken():
            status, _, _ = await call(self.fleet.controls[0], "PUT", "/v1/config",
                                           document(6, tenants=[tenant]), timeout=2)
            return status == 200
        await eventually(self.check, "the configuration with a tenant is taken", taken, seconds=10)
        await asyncio.sleep(2)

    @staticmethod
    def share(served):
        return sum(served) / max(1, len(served))

    def check_shares(self):
        before = self.share(self.served["even"])
        for span, served in self.served.items():
            print(f"{span}: served at the first attempt {self.share(served):.3f} of {len(served)}", flush=True)
            self.check.that(len(served) >= 100, f"only {len(served)} requests in the span {span}")
            self.check.that(self.share(served) >= LEAST * before, f"{span}: only {self.share(served):.3f}")
        self.check.that(before >= 0.9, f"only {before:.3f} served while connections were even")

    async def run(self):
        await self.fleet.form(self.check, self.engines)
        scenario = self.options.scenario
        if scenario == "limit":
            await self.put_tenant()
        kept = []
        if scenario == "kept":
            kept = [asyncio.create_task(self.keep_connection(self.random.choice(self.fleet.gateways[:2])))
                    for _ in range(KEPT_CONNECTIONS)]
        await self.load(EVEN_S, RATE, "even", WARM_UP_S)
        if scenario == "batch":
            await self.submit_job()
        for span, gateway in zip(("first", "second"), self.fleet.gateways):
            self.favoured = gateway
            if scenario == "open":
                await self.open_many(gateway)
            await self.load(UNEVEN_S, RATE * MORE, span, CONTACT_S)
        self.loading = False
        await asyncio.gather(*kept)
        for writer in self.writers:
            writer.close()
        self.check_shares()


if __name__ == "__main__":
    run_scenario(UnevenConnections, SCENARIOS, __doc__, prefix="uneven-connections-", seconds=22, network="127.0.15",
                 engine_port=9200)
