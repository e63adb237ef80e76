"""Stand-in of the platform's metadata store: rows, transactions and feeds (PROTOCOL.md).

Each VM has an endpoint of its own, so that single VMs can be disturbed. All endpoints serve the
same rows.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qsl

import http1


class Store:
    def __init__(self):
        self.rows = {}  # (table, part, key) -> (value or None, version)
        self.version = 0
        self.changed = asyncio.Condition()
        self.started = time.monotonic() - 50

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def row(self, name):
        value, version = self.rows[name]
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "row_version": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def put(self, table, key, value):
        """Writes a row as the operator, a trainer or a worker does."""
        await self.commit([((table, "", key), json.dumps(value).encode())])

    async def delete(self, table, key):
        await self.commit([((table, "", key), None)])

    async def commit(self, changes):
        self.version += 1
        for name, value in changes:
            self.rows[name] = (value, self.version)
        async with self.changed:
            self.changed.notify_all()
        return self.version

    def current(self, name):
        value, version = self.rows.get(name, (None, 0))
        return 0 if value is None else version

    async def transact(self, body):
        name = lambda row: (row["table"], row["part"], row["key"])
        writes = [(name(row), base64.b64decode(row["value"])) for row in body["writes"]]
        deletes = [(name(row), None) for row in body["deletes"]]
        checks = [(name(row), row["row_version"]) for row in body["expected"]]
        entries = len(writes) + len(deletes) + len(checks)
        parts = {row[0][1] for row in writes + deletes + checks}
        too_long = any(len(value) > 65536 for _, value in writes)
        if entries > 100 or len(parts) > 1 or too_long:
            return 400, {}
        if any(row[0][0] in ("op", "servers") for row in writes + deletes):
            return 403, {}
        if any(self.current(row) != version for row, version in checks):
            present = [self.row(row) for row, _ in checks if self.current(row) > 0]
            return 412, {"rows": present}
        version = await self.commit(writes + deletes)
        return 200, {"row_version": version}

    def range(self, query):
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", 500)), 500)
        names = sorted(name for name, (value, _) in self.rows.items()
                       if name[0] == table and name[1] == part and value is not None
                       and name[2] >= start and (not end or name[2] < end))
        taken, size = [], 0
        for name in names[:limit]:
            size += len(self.rows[name][0]) * 4 // 3 + 200
            if taken and size > 1_000_000:
                break
            taken.append(name)
        return 200, {"rows": [self.row(name) for name in taken], "has_more": len(taken) < len(names)}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        end = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000

        def changes():
            names = [name for name, (_, version) in self.rows.items()
                     if name[0] == table and version > after]
            return sorted(names, key=lambda name: self.rows[name][1])

        while not changes() and time.monotonic() < end:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        return 200, {"rows": [self.row(name) for name in changes()]}

    async def handle(self, request, connection):
        query = dict(parse_qsl(request.query, keep_blank_values=True))
        # The usual time of an answer.
        await asyncio.sleep(0.004)
        if request.path == "/-/rows-tx":
            status, body = await self.transact(json.loads(request.body))
        elif request.path == "/-/rows-get":
            status, body = self.range(query)
        elif request.path == "/-/rows-feed":
            status, body = await self.feed(query)
        else:
            status, body = 404, {}
        body = {"row_version": self.version, **body, "now_ms": self.now_ms()}
        return http1.message(status, json.dumps(body).encode(), {"Content-Type": "application/json"})

    async def endpoint(self):
        return await Endpoint.start(self)


class Endpoint:
    """Address of the store for one VM."""

    @classmethod
    async def start(cls, store):
        self = cls()
        self.store, self.connections = store, set()
        self.down = False
        self.server, self.address = await http1.serve(self.handle, connections=self.connections)
        return self

    async def handle(self, request, connection):
        if self.down:
            return http1.message(503)
        return await self.store.handle(request, connection)

    async def wait_for_feed(self, table):
        """Waits until a new request for the feed of `table` has arrived; returns its connection."""
        known = {id(request) for connection in self.connections for request in connection.requests}
        while True:
            for connection in self.connections:
                last = connection.requests[-1] if connection.requests else None
                if (last is not None and id(last) not in known
                        and last.path == "/-/rows-feed" and f"table={table}&" in last.query):
                    return connection
            await asyncio.sleep(0.001)
