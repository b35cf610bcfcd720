#!/usr/bin/env python3
"""Plays the whole path on loopback against a running fleet: configuration, engines, online requests of every kind, batch
jobs, faults of engines, leaving engines. usage: whole_path.py CONTROLS GATEWAYS (comma-separated addresses)"""
import asyncio
import base64
import json
import random
import sys
import time

sys.path.insert(0, __file__.rsplit("/", 1)[0])
from stand_in import Check, Engine, HOST, call, document, eventually, new_id, request_headers  # noqa: E402


async def configuration(check, controls, gateways):
    async def put(version, control, extra=()):
        status, _, _ = await call(control, "PUT", "/v1/config", document(version, extra))
        return status

    async def first():
        return await put(5, controls[0]) == 200

    await eventually(check, "the first configuration is taken", first)
    check.that(await put(5, controls[1]) == 200, "a resend at another process is acknowledged")
    check.that(await put(3, controls[2]) == 200, "an older version is acknowledged")
    for bad in ("", "{", document(9)[:200], json.dumps({"Version": 9, "Routes": [{"Host": HOST}], "Services": []})):
        status, _, _ = await call(controls[0], "PUT", "/v1/config", bad)
        check.that(status == 400, f"an invalid document is refused with 400, not {status}")
    for control in controls:
        status, _, body = await call(control, "GET", "/v1/config")
        check.that(status == 200 and json.loads(body)["Version"] == 5, f"{control} reads back version 5")
    for gateway in gateways:
        async def served():
            status, _, _ = await call(gateway, "GET", "/nowhere/", headers=request_headers())
            return status == 404
        await eventually(check, f"{gateway} has the configuration in force", served)


async def online(check, gateways, engines):
    for number in range(60):
        gateway = gateways[number % len(gateways)]
        request = new_id()
        status, fields, body = await call(gateway, "POST", "/safe/a?x=%20y", b"plain %d" % number,
                                          request_headers(request))
        check.that(status == 200 and body == b"echo:plain %d" % number, f"safe request {number}: {status} {body[:40]}")
        check.that(fields.get("x-response-seal") == f"seal-{request}", "the answer carries the engine's seal")
        check.that(fields.get("x-attempt-id") == request, "the answer echoes the request's identifier")
    for number in range(20):
        request = new_id()
        status, _, body = await call(gateways[0], "POST", "/talk/1", b"stream", request_headers(request))
        wanted = "".join(f"id: {n}\ndata: {request}-{n}\n\n" for n in range(1, 11)).encode()
        check.that(status == 200 and body == wanted, f"stream {number} is whole")
    status, _, _ = await call(gateways[0], "POST", "/safe/a", b"x", {"X-Time-Remaining-Ms": "1000"})
    check.that(status == 400, f"a request without an identifier gets 400, not {status}")
    status, _, _ = await call(gateways[0], "POST", "/safe/a", b"x" * 1100000, request_headers())
    check.that(status == 413, f"a body above the limit gets 413, not {status}")


async def bad_bytes(check, gateway):
    host, port = gateway.split(":")
    for raw in (b"GET\r\n\r\n", b"POST /safe/a HTTP/1.1\r\nContent-Length: -4\r\n\r\n", b"\x00\x01\x02\r\n\r\n",
                b"POST /safe/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw)
        answer = await asyncio.wait_for(reader.read(200), 5)
        check.that(answer.startswith(b"HTTP/1.1 400"), f"{raw[:30]!r} gets 400: {answer[:30]!r}")
        writer.close()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"POST /safe/a HTTP/1.1\r\nContent-Length: 10\r\n\r\nhal")
    answer = await asyncio.wait_for(reader.read(200), 5)
    check.that(answer.startswith(b"HTTP/1.1 408"), f"a half-sent request gets 408 in time: {answer[:30]!r}")
    writer.close()


async def engine_faults(check, gateways, engines):
    engines[0].break_after = 4
    for number in range(12):
        request = new_id()
        status, _, body = await call(gateways[number % len(gateways)], "POST", "/talk/1", b"stream",
                                     request_headers(request))
        wanted = "".join(f"id: {n}\ndata: {request}-{n}\n\n" for n in range(1, 11)).encode()
        check.that(status == 200 and body == wanted, f"a resumed stream has each event once: {body!r}")
    runs = {}
    for number in range(12):
        request = new_id()
        try:
            await call(gateways[number % len(gateways)], "POST", "/speech/1", b"stream", request_headers(request))
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass  # Cut: it must not look whole.
        runs[request] = sum(engine.runs.get(request, 0) for engine in engines)
    check.that(all(count == 1 for count in runs.values()), "a stream that can't be resumed runs once")
    engines[0].break_after = None
    for engine in engines:
        engine.refuse = True
    request = new_id()
    status, fields, _ = await call(gateways[0], "POST", "/once/1", b"x", request_headers(request))
    check.that(status == 503 and float(fields.get("retry-after", 0)) > 0, f"refused with a time to return: {status}")
    check.that(all(request not in engine.runs for engine in engines), "what was refused has not run")
    for engine in engines:
        engine.refuse = False


async def leaving(check, gateways, engines):
    engine = engines[0]
    engine.state = "draining"
    check.that(await engine.beat(), "leaving is acknowledged")
    await asyncio.sleep(1.5)
    before = len(engine.runs)
    for number in range(40):
        await call(gateways[number % len(gateways)], "POST", "/safe/a", b"x", request_headers())
    check.that(len(engine.runs) == before, "a leaving engine gets nothing more")


async def evacuation(check, controls, gateways, engines):
    async def order(method, zone, control):
        status, _, _ = await call(control, method, f"/v1/evacuations/{zone}")
        return status

    check.that(await order("POST", "nowhere", controls[0]) == 404, "a zone that isn't known is refused with 404")
    check.that(await order("POST", "z1", controls[0]) == 200, "an evacuation is acknowledged")
    check.that(await order("POST", "z1", controls[1]) == 200, "the same order again is acknowledged")
    await asyncio.sleep(1)
    before = sum(len(engine.runs) for engine in engines)
    for gateway in gateways:
        status, fields, _ = await call(gateway, "POST", "/safe/a", b"x", request_headers())
        check.that(status == 503 and float(fields.get("retry-after", 0)) > 0, f"no engine is left: {status}")
    check.that(sum(len(engine.runs) for engine in engines) == before, "an evacuated zone runs nothing")
    check.that(await order("DELETE", "z1", controls[2]) == 200, "the zone is taken back")
    check.that(await order("DELETE", "z1", controls[0]) == 200, "and once more")
    for gateway in gateways:
        async def served():
            status, _, _ = await call(gateway, "POST", "/safe/a", b"x", request_headers())
            return status == 200
        await eventually(check, f"{gateway} serves again", served)


async def batch(check, gateways, engines):
    async def submit(job, items, gateway):
        requests = [{"Id": item, "Path": f"/batch/{item}", "Headers": {"X-Model": "m", "X-Token-Usage": "10,10"},
                     "Body": base64.b64encode(body).decode(), "TokenCount": 20} for item, body in items]
        status, _, _ = await call(gateway, "POST", "/batch/new", json.dumps({"Requests": requests}),
                                  {"X-Attempt-Id": job, "Content-Type": "application/json"})
        return status

    jobs = {}
    for number in range(4):
        job = new_id()
        items = [(new_id(), b"stream") for _ in range(15)] + [(new_id(), b"impossible"), (new_id(), b"failing")]
        jobs[job] = dict(items)

        async def accepted():
            return await submit(job, items, random.choice(gateways)) == 202
        await eventually(check, "a job is accepted", accepted)
        check.that(await submit(job, items, gateways[0]) == 202, "a resent job is accepted again")
    last = list(jobs)[-1]
    for job, items in jobs.items():
        results = []

        async def finished():
            status, _, body = await call(gateways[len(results) % len(gateways)], "GET",
                                         f"/v1/lots/{job}?SinceRev={len(results)}", headers={"X-Wait-Ms": "1000"})
            if status != 200:
                return False
            page = json.loads(body)
            check.that(page["Total"] == len(items), "the total is the number of items")
            results.extend(page["Results"])
            return len(results) == len(items)
        await eventually(check, f"job {job} finishes", finished, seconds=30)
        check.that(len({result["Id"] for result in results}) == len(results), "no item is listed twice")
        for result in results:
            body = items[result["Id"]]
            if body != b"stream":
                check.that(result["State"] == "errored", f"{body!r} is errored")
                continue
            wanted = "\n".join(f"{result['Id']}-{n}" for n in range(1, 11))
            check.that(result["State"] == "complete" and result["Text"] == wanted, f"text of {result['Id']} is whole")
        for gateway in gateways:
            _, _, body = await call(gateway, "GET", f"/v1/lots/{job}?SinceRev=0")
            check.that(json.loads(body)["Results"] == results[:len(json.loads(body)["Results"])],
                       "every gateway lists the same results at the same positions")
    status, _, _ = await call(gateways[0], "DELETE", f"/v1/lots/{last}")
    check.that(status == 200, "a job is ended")
    status, _, _ = await call(gateways[0], "GET", f"/v1/lots/{new_id()}?SinceRev=0")
    check.that(status == 404, f"an unknown job gets 404, not {status}")
    failing = [item for items in jobs.values() for item, body in items.items() if body == b"failing"]
    for item in failing:
        runs = sum(engine.runs.get(item, 0) for engine in engines)
        check.that(runs <= 9, f"an item that fails is given up: {runs} runs")


def tenant(name, keys, rate=0, burst=0):
    return {"Name": name, "ApiKeys": keys, "Priority": 0, "RatePerS": rate, "Burst": burst}


async def in_force(check, controls, gateways, version, tenants, key, wanted):
    """Puts a document with tenants and waits until each gateway answers a request with `key` by `wanted`."""
    async def taken():
        status, _, _ = await call(controls[0], "PUT", "/v1/config", document(version, [], tenants))
        return status == 200
    await eventually(check, f"version {version} is taken", taken)
    for gateway in gateways:
        async def obeyed():
            status, _, _ = await call(gateway, "POST", "/safe/a", b"x", request_headers(key=key))
            return status == wanted
        await eventually(check, f"{gateway} answers {wanted} under version {version}", obeyed)


async def keys_of_tenants(check, controls, gateways, engines):
    crew, office = tenant("crew", ["key-crew-1", "key-crew-2"]), tenant("office", ["key-office"])
    # An unknown key: without tenants, as before, every key is answered by 200.
    await in_force(check, controls, gateways, 30, [crew, office], "key-unknown", 401)
    status, _, _ = await call(controls[0], "PUT", "/v1/config",
                              document(31, [], [crew, tenant("thief", ["key-crew-1"])]))
    check.that(status == 400, f"a key of two tenants is refused with 400, not {status}")
    for gateway in gateways:
        request = new_id()
        headers = request_headers(request, key="key-crew-2")
        headers["X-Tenant"] = "office"
        status, _, _ = await call(gateway, "POST", "/safe/a", b"x", headers)
        named = [engine.tenants[request] for engine in engines if request in engine.tenants]
        check.that(status == 200 and named == ["crew"], f"the engine is told the key's tenant: {status} {named}")
        for key in (None, "key-unknown"):
            request = new_id()
            status, _, _ = await call(gateway, "POST", "/safe/a", b"x", request_headers(request, key=key))
            check.that(status == 401, f"a call with key {key} gets 401, not {status}")
            check.that(all(request not in engine.runs for engine in engines), "what got 401 has not run")
        status, _, _ = await call(gateway, "GET", "/nowhere/", headers=request_headers())
        check.that(status == 404, f"no route goes before no key: {status}")
    await jobs_of_tenants(check, gateways, engines)
    await in_force(check, controls, gateways, 32, [tenant("crew", ["key-crew-2"]), office], "key-crew-1", 401)
    status, _, _ = await call(gateways[0], "POST", "/safe/a", b"x", request_headers(key="key-crew-2"))
    check.that(status == 200, f"the key that is left still works: {status}")


async def jobs_of_tenants(check, gateways, engines):
    job, item = new_id(), new_id()
    body = json.dumps({"Requests": [{"Id": item, "Path": f"/batch/{item}", "Headers": {"X-Tenant": "office"},
                                     "Body": base64.b64encode(b"stream").decode(), "TokenCount": 5}]})
    crew = {"Authorization": "Bearer key-crew-1"}

    async def accepted():
        status, _, _ = await call(gateways[0], "POST", "/batch/new", body, {"X-Attempt-Id": job, **crew})
        return status == 202
    await eventually(check, "a job of a tenant is accepted", accepted)

    async def finished():
        status, _, page = await call(gateways[1], "GET", f"/v1/lots/{job}?SinceRev=0",
                                     headers={"Authorization": "Bearer key-crew-2"})
        return status == 200 and len(json.loads(page)["Results"]) == 1
    await eventually(check, "another key of the tenant reads the job", finished)
    named = [engine.tenants[item] for engine in engines if item in engine.tenants]
    check.that(named and set(named) == {"crew"}, f"items carry their tenant's name: {named}")
    office = {"Authorization": "Bearer key-office"}
    for method, target in (("GET", f"/v1/lots/{job}?SinceRev=0"), ("GET", f"/v1/items/{job}?Id={item}"),
                           ("DELETE", f"/v1/lots/{job}")):
        status, _, _ = await call(gateways[0], method, target, headers=office)
        check.that(status == 404, f"another tenant's {method} {target} gets 404, not {status}")
        status, _, _ = await call(gateways[0], method, target)
        check.that(status == 401, f"{method} {target} without a key gets 401, not {status}")


async def limits_of_tenants(check, controls, gateways, engines):
    limited, free = tenant("crew", ["key-crew-2"], rate=5, burst=5), tenant("office", ["key-office"])
    await in_force(check, controls, gateways, 40, [limited, free], "key-crew-2", 429)
    start = time.monotonic()
    before = {request for engine in engines for request in engine.runs}
    rejected = 0
    while time.monotonic() < start + 3:
        request = new_id()
        status, fields, _ = await call(random.choice(gateways), "POST", "/safe/a", b"x",
                                       request_headers(request, key="key-crew-2"))
        if status == 429:
            rejected += 1
            check.that(float(fields.get("retry-after", 0)) > 0, "a rejection says when to come back")
            check.that(all(request not in engine.runs for engine in engines), "what got 429 has not run")
        await asyncio.sleep(0.01)
    spent = time.monotonic() - start
    ran = len({request for engine in engines for request in engine.runs} - before)
    check.that(ran <= 5 * (spent + 0.5) + 5, f"{ran} requests ran in {spent:.1f} s of 5 a second with a burst of 5")
    check.that(ran >= 5, f"a tenant at its limit is still served: {ran}")
    check.that(rejected > 10, f"what is over the limit gets 429: {rejected}")
    status, _, _ = await call(gateways[0], "POST", "/safe/a", b"x", request_headers(key="key-office"))
    check.that(status == 200, f"another tenant is not limited: {status}")


async def metrics_hold_no_key(check):
    for number in (1, 2):
        _, _, page = await call(f"127.0.1.{20 + number}:{9460 + number}", "GET", "/metrics")
        check.that(b"hatchfork_rate_limit_total" in page, "limits are counted")
        check.that(b"key-" not in page, "no API key stands in the metrics")


async def main():
    controls, gateways = (argument.split(",") for argument in sys.argv[1:3])
    random.seed(7)
    check = Check()
    engines = [Engine(number, 8400 + number, controls) for number in range(4)]
    for engine in engines:
        await engine.start()
    await configuration(check, controls, gateways)

    async def all_registered():
        await call(gateways[0], "POST", "/safe/a", b"x", request_headers())
        return sum(1 for engine in engines if engine.runs) == len(engines)
    await eventually(check, "all engines are used", all_registered)
    await online(check, gateways, engines)
    await bad_bytes(check, gateways[0])
    await engine_faults(check, gateways, engines)
    await evacuation(check, controls, gateways, engines)
    await batch(check, gateways, engines)
    await leaving(check, gateways, engines)
    await keys_of_tenants(check, controls, gateways, engines)
    await limits_of_tenants(check, controls, gateways, engines)
    await metrics_hold_no_key(check)
    print("whole path: ok" if check.failed == 0 else f"whole path: {check.failed} checks failed")
    return 1 if check.failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
