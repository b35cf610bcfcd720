"""Engines that answer with bytes that are no answer and have no end, until the caller closes the connection."""
import asyncio

from stand_in import Engine

HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {request}\r\nX-Response-Seal: seal-{request}\r\n"
STREAM = HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text):
    return f"{len(text):x}\r\n{text}\r\n"


# What is sent first, and then again and again.
KINDS = {
    "head": (HEAD, "X-More: 1\r\n"),
    "head-line": (HEAD + "X-More: ", "more"),
    "head-bytes": ("", "H"),
    "interim": ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    "surplus": ("", HEAD.replace("{request}", "another") + "Content-Length: 2\r\n\r\nok"),
    "event": (STREAM + chunk("id: 1\ndata: "), chunk("no line has an end ")),
    "comments": (STREAM, chunk(": a comment\n\n")),
    "repeated": (STREAM + chunk("id: 1\ndata: {request}-1\n\n"), chunk("id: 1\ndata: again\n\n")),
    "length": (HEAD + "Content-Length: 10000000000\r\n\r\n", "more of a body"),
    "body": (HEAD + "Transfer-Encoding: chunked\r\n\r\n", chunk("more of a body")),
    "unframed": (HEAD + "Content-Type: text/event-stream\r\n\r\n", "\x01\x02 no answer "),
}


class EndlessEngine(Engine):
    """Answers with the kind `endless` while it is set. `open` counts connections on which it sends."""

    endless = None
    pause = 0.0
    open = 0
    longest_s = 0.0

    async def begin_run(self, request, target, body, writer):
        if self.endless is None:
            return
        begin, piece = (text.replace("{request}", request) for text in KINDS[self.endless])
        self.open += 1
        began = asyncio.get_running_loop().time()
        try:
            writer.write(begin.encode())
            while True:
                # Many at once, where there is no pause between them.
                writer.write((piece if self.pause else piece * 200).encode())
                await writer.drain()
                await asyncio.sleep(self.pause)
        finally:
            self.open -= 1
            self.longest_s = max(self.longest_s, asyncio.get_running_loop().time() - began)
