"""A stand-in of a model engine, one process: registers, sends heartbeats, runs requests as PROTOCOL.md says, and leaves as
planned on SIGTERM.

The body of a request is JSON: `events` (how many), `gap_ms` (the time between two), `first_ms` (optional: the time that its
prompt takes to be read before the first event), `fails` (optional: how many runs of this item get 500 before one succeeds). Each event's data is "ITEM-NUMBER". What arrives and runs is appended to a log, one
JSON object a line.
"""
import asyncio
import json
import os
import random
import signal
import sys
import time

QUEUE = 8
DRAIN_S = 2.0  # DrainMs


class Engine:
    def __init__(self, arguments):
        self.id, self.address, self.service, self.zone = arguments[:4]
        self.slots, self.log_path = int(arguments[4]), arguments[5]
        self.began = float(arguments[6])
        self.controls = arguments[7].split(",")
        self.weights = int(arguments[8])  # the version of its model
        self.state = "ready"
        self.free = asyncio.Semaphore(self.slots)
        self.running = self.waiting = self.sequence = 0
        self.failed = {}

    def log(self, what, item, **more):
        entry = {"at": round(time.time() - self.began, 3), "engine": self.id, "what": what, "item": item, **more}
        with open(self.log_path, "a") as file:
            file.write(json.dumps(entry) + "\n")

    async def beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.2 if self.sequence > 1 else 0.4)

    async def beat(self):
        self.sequence += 1
        await self.tell("PUT", json.dumps(
            {"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1", "Slots": self.slots,
             "State": self.state, "ColdRemainingMs": 0, "Stage": "both",
             "Models": [{"Name": "m", "Version": self.weights, "Adapters": []}], "Sequence": self.sequence}))

    async def tell(self, method, body=""):
        """Calls one node after the other until one acknowledges."""
        for control in random.sample(self.controls, len(self.controls)):
            try:
                if await asyncio.wait_for(self.send(control, method, body), 1.0) == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue

    async def leave(self):
        """A planned end: it reports that it drains, serves on for a while, says that it is gone, and ends."""
        self.state = "draining"
        await self.beat()
        self.log("draining is acknowledged", "-")
        await asyncio.sleep(DRAIN_S + 0.5)
        await self.tell("DELETE")
        os._exit(0)

    async def send(self, control, method, body):
        host, port = control.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"{method} /v1/instances/{self.id} HTTP/1.1\r\nHost: {control}\r\nConnection: close\r\n"
                         f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            return int(head.split(b" ")[1])
        finally:
            writer.close()

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def head(self, status, item, more=""):
        return (f"HTTP/1.1 {status}\r\nX-Attempt-Id: {item}\r\nX-Server-Load: {self.running},{self.waiting},{self.slots}\r\n"
                f"X-Weight-Versions: {self.weights}\r\n{more}").encode()

    async def serve_one(self, reader, writer):
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = {k.lower(): v for k, v in (line.split(": ", 1) for line in lines[1:] if line)}
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        item = fields.get("x-attempt-id", "")
        if lines[0].startswith("GET /healthz"):
            writer.write(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        self.log("arrived", item, after=fields.get("last-event-id", "0"))
        if fields.get("x-expect-instance", self.id) != self.id:
            writer.write(self.head("421 Misdirected Request", item, "Content-Length: 0\r\n\r\n"))
            return True
        if int(fields.get("x-expect-version", self.weights)) != self.weights:
            writer.write(self.head("421 Misdirected Request", item, "Content-Length: 0\r\n\r\n"))
            self.log("421, its weights are another version", item)
            return True
        if self.waiting >= QUEUE:
            writer.write(self.head("503 Service Unavailable", item, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
            return True
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self.run(reader, writer, item, int(fields.get("last-event-id", "0")), json.loads(body))
        finally:
            self.running -= 1
            self.free.release()

    async def run(self, reader, writer, item, after, work):
        seal = f"X-Response-Seal: 3e1b.{item}\r\n"
        self.log("began", item, after=after)
        if self.failed.get(item, 0) < work.get("fails", 0):
            self.failed[item] = self.failed.get(item, 0) + 1
            writer.write(self.head("500 Internal Server Error", item, f"{seal}Content-Length: 0\r\n\r\n"))
            await writer.drain()
            self.log("answered 500", item)
            return True
        writer.write(self.head("200 OK", item, f"{seal}Content-Type: text/event-stream\r\n"
                                               "Transfer-Encoding: chunked\r\n\r\n"))
        await asyncio.sleep(work.get("first_ms", 0) / 1000)
        for number in range(after + 1, work["events"] + 1):
            await asyncio.sleep(work["gap_ms"] / 1000)
            # Most engines drop a request when its connection closes.
            if reader.at_eof() or writer.is_closing():
                self.log("dropped, its connection was closed", item, after=number - 1)
                return False
            event = f"id: {number}\ndata: {item}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.log("finished", item)
        return True


async def main():
    engine = Engine(sys.argv[1:])
    host, port = engine.address.split(":")
    server = await asyncio.start_server(engine.serve, host, int(port))
    beats = asyncio.create_task(engine.beats())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, lambda: asyncio.ensure_future(engine.leave()))
    async with server:
        await asyncio.gather(server.serve_forever(), beats)


asyncio.run(main())
