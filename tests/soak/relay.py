"""Relays TCP connections, and can fall silent: nothing is passed on either way, and no connection ends."""
import asyncio

PIECE_BYTES = 65536


class Relay:
    """Listens on `port` of some addresses and passes connections on to another port of the same address."""

    def __init__(self):
        self.servers = []
        self.passes = asyncio.Event()
        self.passes.set()
        self.tasks = set()

    async def listen(self, address, port, target_port):
        async def accept(reader, writer):
            self.tasks.add(asyncio.current_task())
            await self.passes.wait()
            try:
                target_reader, target_writer = await asyncio.open_connection(address, target_port)
            except OSError:
                writer.close()
                return
            # Each way counts as a task of its own, so that both are cancelled at the end.
            ways = [asyncio.create_task(self.pump(reader, target_writer)), asyncio.create_task(self.pump(target_reader, writer))]
            self.tasks.update(ways)
            await asyncio.gather(*ways)
        self.servers.append(await asyncio.start_server(accept, address, port))

    async def pump(self, reader, writer):
        try:
            while piece := await reader.read(PIECE_BYTES):
                await self.passes.wait()
                writer.write(piece)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def close(self):
        for server in self.servers:
            server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def fall_silent(self):
        self.passes.clear()

    def go_on(self):
        self.passes.set()
