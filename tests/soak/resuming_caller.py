"""A caller that reads a stream event by event and goes on by itself after a break, as the pieces come."""
import asyncio
import time

from stand_in import HOST, length_of, read_head

READ_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError)


class StreamReader:
    """One request of a caller: its events in order of arrival, and how it ended."""

    def __init__(self):
        self.status = 0
        self.events = []  # (id, data)
        self.is_whole = False  # closed as a complete answer
        self.body = b""
        self.head_after = None  # seconds until the head of the answer

    async def read(self, address, target, body, headers, timeout=6):
        try:
            await asyncio.wait_for(self._read(address, target, body, headers), timeout)
        except READ_ERRORS:
            pass

    async def _read(self, address, target, body, headers):
        began = time.monotonic()
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"POST {target} HTTP/1.1", f"Host: {HOST}", "Connection: close", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            self.status, fields = await read_head(reader)
            self.head_after = time.monotonic() - began
            if fields.get("transfer-encoding") != "chunked":
                self.body = await reader.readexactly(length_of(self.status, fields))
                self.is_whole = True
                return
            held = b""
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    self.is_whole = True
                    return
                held = self._take(held + piece[:-2])
        finally:
            writer.close()

    def _take(self, held):
        while b"\n\n" in held:
            event, held = held.split(b"\n\n", 1)
            fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
            self.events.append((int(fields["id"]), fields["data"]))
        return held
