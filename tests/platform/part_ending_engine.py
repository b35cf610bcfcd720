"""Engines that end shortly after they begin an answer whose prompt has a certain part, and come back under another
identifier."""
import asyncio
import time

from stand_in import Engine

ENDS_AFTER_S = 0.06
BACK_AFTER_S = 3.0


def part_names(prompt):
    """The identifiers of a prompt's parts, in their order, without the last one, which is the request's own."""
    return [piece.split(":")[0] for piece in (prompt or "").split(",")][:-1]


class PartEndingEngine(Engine):
    """`ending_parts` end the engine. `begun` is shared by all engines: when a run with such a part began, and its part."""

    def __init__(self, number, port, controls, ending_parts, begun, back_after_s=BACK_AFTER_S, **more):
        super().__init__(number, port, controls, **more)
        self.number = number
        self.ending_parts = ending_parts
        self.begun = begun
        self.back_after_s = back_after_s
        self.starts = 1
        self.ends = []  # when each life ended, and whether a run ended it
        self.ending = None

    async def begin_run(self, request, target, body, writer):
        ending = [part for part in part_names(self.prompts.get(request)) if part in self.ending_parts]
        if not ending:
            return
        self.begun.append((time.monotonic(), ending[0]))
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\nX-Response-Seal: seal-{request}\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        if self.ending is None:
            self.ending = asyncio.create_task(self.end_and_return(ENDS_AFTER_S))
        await asyncio.sleep(60)

    def end_by_itself(self):
        """For a reason of its own, whatever it runs."""
        if self.ending is None:
            self.ending = asyncio.create_task(self.end_and_return(0, by_a_run=False))

    async def end_and_return(self, after, by_a_run=True):
        await asyncio.sleep(after)
        await self.stop()
        self.ends.append((time.monotonic(), by_a_run))
        await asyncio.sleep(self.back_after_s)
        self.starts += 1
        self.id = f"i-{self.number:04x}-{self.starts}"
        runs = self.runs
        self.ending = None
        await self.start_again(self.port)
        self.runs = runs  # what the checks count of all lives
