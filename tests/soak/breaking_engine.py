"""Engines that break a share of their streams at a chosen place, and note what each attempt asked for."""
import asyncio
import socket
import struct

from stand_in import Engine

EVENTS = 10  # of a whole text
# Where a stream breaks: after the head and before any event; inside an event; between two events; an answer without
# chunks or a length that is reset between two events; one that is closed there without a reset; one that is closed
# inside an event; one that is whole and ends by its close; one that is closed between two events since its engine ends.
PLACES = ("head", "inside", "between", "unframed", "closed", "closed inside", "closed whole", "ended")
UNFRAMED = ("unframed", "closed", "closed inside", "closed whole", "ended")
AWAY_S = 0.5  # from the end of an engine to its next life


def reset(writer):
    """Ends the connection with a reset in place of a proper close."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class BreakingEngine(Engine):
    """`asked` is shared by all engines: for each request the event that each attempt went on after, in order."""

    def __init__(self, number, port, controls, asked, places, share, **more):
        super().__init__(number, port, controls, **more)
        self.asked = asked
        self.places = places
        self.share = share
        self.closed = {}  # request -> the events after which an answer without a length was closed

    async def stream(self, writer, request, body, after, extra):
        self.asked.setdefault(request, []).append(after)
        after = min(after, EVENTS)
        text = body.decode()
        place = self.random.choice(self.places) if self.random.random() < self.share else None
        is_framed = place not in UNFRAMED
        last = EVENTS if place is None else self.random.randint(min(after, EVENTS - 1), EVENTS - 1)
        if place == "head":
            last = after
        if place == "closed whole":
            last = EVENTS
        framing = "Transfer-Encoding: chunked" if is_framed else "Connection: close"
        writer.write(f"HTTP/1.1 200 OK\r\n{extra}Content-Type: text/event-stream\r\n{framing}\r\n\r\n".encode())
        self.running += 1
        try:
            for number in range(after + 1, last + 1):
                await asyncio.sleep(self.event_delay)
                await self.write(writer, f"id: {number}\ndata: {self.event_data(text, number)}\n\n".encode(), is_framed)
            if place is None:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
                return True
            if place in ("inside", "closed inside"):
                await self.write(writer, f"id: {last + 1}\nda".encode(), is_framed)
            # What was written must be on its way before a reset, which would overtake it.
            await asyncio.sleep(self.event_delay)
            if place == "ended":
                await self.end(writer)
            elif not place.startswith("closed"):
                reset(writer)
            if place in ("closed", "closed whole"):
                self.closed.setdefault(request, []).append(last)
            return False
        finally:
            self.running -= 1

    async def answer(self, writer, status, extra, body):
        """A plain answer; where engines end, a share of them is closed in order in its middle."""
        ends_engines_only = set(self.places) == {"ended"}
        if not ends_engines_only or not status.startswith("200") or self.random.random() >= self.share:
            return await super().answer(writer, status, extra, body)
        await self.write(writer, f"HTTP/1.1 {status}\r\n{extra}Connection: close\r\n\r\n".encode() + body[:len(body) // 2], False)
        await asyncio.sleep(self.event_delay)
        await self.end(writer)
        return False

    async def end(self, writer):
        """Ends like a process: it listens no more, this connection is closed in order, the others are reset."""
        self.writers.discard(writer)
        await self.stop()
        self.next_life = asyncio.create_task(self.return_later())

    async def return_later(self):
        await asyncio.sleep(AWAY_S)
        await self.start_again(self.port)

    def event_data(self, text, number):
        return f"{text}-{number}"

    async def write(self, writer, piece, is_framed):
        writer.write(b"%x\r\n" % len(piece) + piece + b"\r\n" if is_framed else piece)
        await writer.drain()
