"""Minimal HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, self.query = target.partition("?")


async def read_head(reader):
    """Returns the start line and the headers, with names in lower case; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head(status, headers):
    reasons = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
               412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
               500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def message(status, body=b"", headers=None):
    headers = dict(headers or {})
    headers["Content-Length"] = len(body)
    return head(status, headers) + body


class Connection:
    """Server side of a connection; the handler may write to it directly."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        # A silent connection stays open and delivers nothing, in either direction.
        self.silent = False
        self.requests = []

    async def send(self, data):
        if not self.silent:
            self.writer.write(data)
            await self.writer.drain()

    async def chunk(self, data):
        await self.send(b"%x\r\n" % len(data) + data + b"\r\n")

    async def end_chunks(self):
        await self.send(b"0\r\n\r\n")

    def reset(self):
        self.writer.transport.abort()


async def serve(handler, host="127.0.0.1", port=0, connections=None):
    """Starts a server; `handler(request, connection)` returns the bytes to send, or None."""

    async def run(reader, writer):
        connection = Connection(reader, writer)
        if connections is not None:
            connections.add(connection)
        try:
            while True:
                start = await read_head(reader)
                if start is None:
                    break
                (method, target, _), headers = start[0].split(" ", 2), start[1]
                body = await read_body(reader, headers)
                if connection.silent:
                    continue
                request = Request(method, target, headers, body)
                connection.requests.append(request)
                answer = await handler(request, connection)
                if answer is not None:
                    await connection.send(answer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if connections is not None:
                connections.discard(connection)
            writer.close()

    server = await asyncio.start_server(run, host, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[:2]


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


async def call(address, method, target, headers=None, body=b"", limit_s=10.0):
    """Sends one request on a new connection; None if no answer head arrives."""
    try:
        return await asyncio.wait_for(_call(address, method, target, headers, body), limit_s)
    except (asyncio.TimeoutError, ConnectionError, OSError):
        return None


async def _call(address, method, target, headers, body):
    reader, writer = await asyncio.open_connection(*address, limit=64 << 20)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        sent = {"Host": "users.example", "Content-Length": len(body), **(headers or {})}
        lines += [f"{name}: {value}" for name, value in sent.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        start = await read_head(reader)
        if start is None:
            return None
        status, headers = int(start[0].split(" ")[1]), start[1]
        data, complete = b"", True
        try:
            if headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                    part = await reader.readexactly(size + 2)
                    if size == 0:
                        break
                    data += part[:-2]
            elif "content-length" in headers:
                data = await reader.readexactly(int(headers["content-length"]))
            elif status not in (204, 304):
                data = await reader.read(-1)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            complete = False
        return Answer(status, headers, data, complete)
    finally:
        writer.close()
