"""Engines that end under a request whose body says so, and come back some seconds later: every second one under the
identifier that it had, the others under another one."""
import asyncio
import time

from stand_in import Engine

ENDS_AFTER_S = 0.03
BACK_AFTER_S = 3.0
MARK = b"ending"  # in the body of a request that ends each engine that begins to run it


class EndingEngine(Engine):
    """`begun` is shared by all engines: when a run of a marked request began, its body, its engine."""

    def __init__(self, number, port, controls, begun, **more):
        super().__init__(number, port, controls, **more)
        self.number = number
        self.begun = begun
        self.starts = 1
        self.ending = None

    async def begin_run(self, request, target, body, writer):
        if MARK not in body:
            return
        self.begun.append((time.monotonic(), bytes(body), self.id))
        if target.startswith(("/talk/", "/speech/", "/batch/")):
            writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\nX-Response-Seal: seal-{request}\r\n"
                         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        if self.ending is None:
            self.ending = asyncio.create_task(self.end_and_return())
        await asyncio.sleep(60)

    async def end_and_return(self):
        await asyncio.sleep(ENDS_AFTER_S)
        await self.stop()
        await asyncio.sleep(BACK_AFTER_S)
        self.starts += 1
        if self.number % 2 == 0:
            self.id = f"i-{self.number:04x}-{self.starts}"
        runs = self.runs
        self.ending = None
        await self.start_again(self.port)
        self.runs = runs  # what the checks count of all lives
