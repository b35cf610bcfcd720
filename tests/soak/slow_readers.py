#!/usr/bin/env python3
"""Callers that read a byte a second, and engines that stop reading long requests, at a gateway of 160 MB: others are
served, the gateway's memory stays below what it has, and nothing that was cut looks whole.

    python3 tests/soak/slow_readers.py [--callers 500] [--seconds 25] [--folder DIR] [--network 127.0.6]

Exit code 1 and lines that begin with FAILED if a promise is broken; the logs stay in the folder then.
"""
import argparse
import asyncio
import re
import shutil
import socket
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))
from fleet import PROGRAM, Fleet  # noqa: E402
from stand_in import HOST, Check, Engine, call, new_id, request_headers  # noqa: E402

MEMORY_MB = 160
LONG = 700 << 10  # bytes of a long request
ANSWER = 4 << 20  # of a long answer: more than a kernel takes for one connection
SMALL_WINDOW = 4096
CALL_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError)


class ForgetfulEngine(Engine):
    """Gives long answers, and stops reading long requests that are marked so, for as long as the run lasts."""

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        listener.bind(("127.0.0.1", self.port))
        self.server = await asyncio.start_server(self.serve, sock=listener)
        self.beats = asyncio.create_task(self.beat_loop())

    async def answer(self, writer, status, extra, body):
        return await super().answer(writer, status, extra, b"x" * ANSWER if body == b"echo:long" else body)

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if b"/safe/unread" in head.split(b"\r\n")[0]:
            reader._transport.pause_reading()
            await asyncio.sleep(3600)
        again = asyncio.StreamReader(limit=1 << 24)
        again.feed_data(head)
        length = re.search(rb"(?i)content-length: (\d+)", head)
        again.feed_data(await reader.readexactly(int(length.group(1)) if length else 0))
        again.feed_eof()
        return await super().serve_one(again, writer)


class SlowReaders:
    def __init__(self, options, folder):
        self.options = options
        self.check = Check()
        self.fleet = Fleet(folder, controls=3, stores=3, gateways=1, network=options.network)
        for process in self.fleet.processes.values():
            process.program = options.program
        for process in self.fleet.of_role("gateway"):
            process.file.write_text(process.file.read_text() + f"memory_mb = {MEMORY_MB}\n")
        self.engines = [ForgetfulEngine(number, options.engine_port + number, self.fleet.controls, slots=200)
                        for number in range(4)]
        self.going = True
        self.cut = self.whole = self.refused = 0
        self.small = {"served": 0, "other": 0}
        self.most_resident_mb = 0.0

    async def read_slowly(self, target, body):
        """One caller: a request at full speed, then a byte of its answer a second."""
        loop = asyncio.get_running_loop()
        host, port = self.fleet.gateways[0].split(":")
        with socket.socket() as link:
            link.setblocking(False)
            link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
            try:
                await loop.sock_connect(link, (host, int(port)))
                head = "".join(f"{name}: {value}\r\n" for name, value in request_headers(remaining=4000).items())
                request = f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n{head}\r\n".encode()
                await loop.sock_sendall(link, request + body)
                received = 0
                first = b""
                while self.going:
                    byte = await loop.sock_recv(link, 1)
                    if not byte:
                        break
                    first = (first + byte)[:12]
                    received += 1
                    await asyncio.sleep(1)
                while True:  # what came before the end, to see how it ends
                    rest = await loop.sock_recv(link, 1 << 16)
                    if not rest:
                        break
                    first = (first + rest)[:12]
                    received += len(rest)
            except CALL_ERRORS:
                self.cut += 1
                return
            if first.startswith(b"HTTP/1.1 200"):
                self.whole += received > ANSWER
                self.check.that(received > ANSWER, f"an answer of {received} bytes ended as if it were whole")
            else:
                self.refused += 1

    async def ask_small(self):
        while self.going:
            try:
                status, _, body = await call(self.fleet.gateways[0], "POST", "/safe/small", b"x", request_headers(new_id()),
                                             timeout=6)
                self.small["served" if status == 200 and body == b"echo:x" else "other"] += 1
            except CALL_ERRORS:
                self.small["other"] += 1
            await asyncio.sleep(0.05)

    async def watch_memory(self):
        pid = self.fleet.processes["gateway-1"].child.pid
        while self.going:
            status = Path(f"/proc/{pid}/status").read_text()
            self.most_resident_mb = max(self.most_resident_mb, int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024)
            await asyncio.sleep(0.1)

    async def run(self):
        await self.fleet.form(self.check, self.engines)
        started = time.monotonic()
        work = [asyncio.create_task(self.watch_memory()), *(asyncio.create_task(self.ask_small()) for _ in range(4))]
        for number in range(self.options.callers):
            unread = number % 5 == 0
            caller = self.read_slowly("/safe/unread", b"x" * LONG) if unread else self.read_slowly("/safe/long", b"long")
            work.append(asyncio.create_task(caller))
            await asyncio.sleep(0.01)
        await asyncio.sleep(max(0, self.options.seconds - (time.monotonic() - started)))
        self.going = False
        await asyncio.wait(work, timeout=20)
        gateway = self.fleet.processes["gateway-1"]
        self.check.that(gateway.is_running(), "the gateway ended")
        self.check.that(self.most_resident_mb < MEMORY_MB, f"the gateway grew to {self.most_resident_mb:.0f} MB")
        asked = sum(self.small.values())
        self.check.that(self.small["served"] >= 0.98 * asked and asked > 100, f"others were served {self.small}")
        log = (self.fleet.folder / "gateway-1.log").read_text(errors="replace")
        let_go = len(re.findall("event=slow_reader_let_go", log))
        self.check.that(let_go > 0, "no slow reader was let go")
        print(f"slow readers: callers={self.options.callers} cut={self.cut} whole={self.whole} refused={self.refused} "
              f"let_go={let_go} small={self.small} most_resident_mb={self.most_resident_mb:.0f} broken={self.check.failed}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--callers", type=int, default=500)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--folder")
    parser.add_argument("--program", type=Path, default=PROGRAM)
    parser.add_argument("--network", default="127.0.6")
    parser.add_argument("--engine-port", type=int, default=8800)
    options = parser.parse_args()
    folder = Path(options.folder or tempfile.mkdtemp(prefix="hatchfork-slow-"))
    folder.mkdir(parents=True, exist_ok=True)
    slow = SlowReaders(options, folder)
    try:
        asyncio.run(slow.run())
    finally:
        slow.fleet.kill_all()
    if slow.check.failed:
        print(f"logs: {folder}")
        return 1
    if not options.folder:
        shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
