"""Stand-in of a worker: a model engine or a plain service (PROTOCOL.md).

An item or request states the number of its events in its body, as `{"events": N}`.
"""

import asyncio
import json
import time

import http1


class Worker:
    @classmethod
    async def start(cls, store, name, service, record, event_ms=20, slots=8):
        self = cls()
        self.store, self.name, self.service, self.record = store, name, service, record
        self.event_ms, self.slots = event_ms, slots
        self.version, self.sequence, self.beats, self.running = 1, 0, 0, 0
        self.state, self.born = "ready", int(time.time() * 1000)
        self.busy_until = 0.0
        # Called with each request before it runs; may return an answer that replaces the run.
        self.intercept = None
        # Called with a run before each event; returns whether the worker crashes there.
        self.crash = None
        # Identifier of an item whose events take longer.
        self.slow = None
        self.runs, self.connections = [], set()
        self.server, self.address = await http1.serve(self.handle, connections=self.connections)
        await self.beat()
        self.beating = asyncio.create_task(self.keep_beating())
        return self

    async def beat(self):
        self.beats += 1
        entry = {"service": self.service, "address": "%s:%d" % self.address, "zone": "zone-a",
                 "version": "v1", "slots": self.slots, "state": self.state,
                 "cold_remaining_ms": 0, "stage": "both", "sequence": self.beats,
                 "born": self.born,
                 "models": [{"name": "lm", "version": self.version, "adapters": []}]}
        await self.store.put("servers", self.name, entry)

    async def keep_beating(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def crash_now(self):
        """Ends the worker without notice; its entry is removed after three missed intervals."""
        self.beating.cancel()
        self.server.close()
        for connection in list(self.connections):
            connection.reset()
        self.record(f"worker {self.name} crashed")

        async def expire():
            await asyncio.sleep(3.6)
            await self.store.delete("servers", self.name)

        self.expiry = asyncio.create_task(expire())

    def headers(self, request, run=None):
        headers = {"X-Filbertsail-Server-Load": f"{self.running},0,{self.slots}",
                   "Keep-Alive": "timeout=10"}
        if "x-filbertsail-attempt-id" in request.headers:
            headers["X-Filbertsail-Attempt-Id"] = request.headers["x-filbertsail-attempt-id"]
        if run is not None:
            headers["X-Filbertsail-Server-Stamp"] = f"{self.name}.{run['number']}"
            headers["X-Filbertsail-Weight-Versions"] = self.version
        return headers

    def begin(self, request):
        run = {"worker": self.name, "service": self.service, "number": len(self.runs),
               "id": request.headers.get("x-filbertsail-attempt-id"), "path": request.path,
               "last": request.headers.get("last-event-id"), "at": time.monotonic(), "sent": 0}
        self.runs.append(run)
        self.record(f"worker {self.name} runs {run['id']} after event {run['last']}")
        return run

    async def handle(self, request, connection):
        expected = request.headers.get("x-filbertsail-expect-instance")
        if expected is not None and expected != self.name:
            return http1.message(421, b"", {"X-Filbertsail-Instance-Id": self.name})
        if request.path == "/health":
            return http1.message(200, b"", {"X-Filbertsail-Instance-Id": self.name})
        if request.path == "/-/report":
            return self.report()
        if request.path == "/-/order":
            return self.order(json.loads(request.body))
        if self.running >= self.slots + 4:
            return http1.message(503, b"", {**self.headers(request), "X-Filbertsail-Not-Run": 1})
        run = self.begin(request)
        if self.intercept is not None:
            answer = await self.intercept(run, request, connection)
            if answer is not None:
                return answer
        self.running += 1
        try:
            return await self.run(run, request, connection)
        finally:
            self.running -= 1

    async def run(self, run, request, connection):
        events = json.loads(request.body or b"{}").get("events")
        if events is None:
            await asyncio.sleep(0.01)
            body = b"answer to " + (run["id"] or "").encode()
            return http1.message(200, body, self.headers(request, run))
        headers = {**self.headers(request, run), "Content-Type": "text/event-stream",
                   "Transfer-Encoding": "chunked"}
        await connection.send(http1.head(200, headers))
        first = int(run["last"]) + 1 if run["last"] is not None else 1
        version = self.version
        for event in range(first, events + 1):
            await asyncio.sleep(self.event_ms * (6 if run["id"] == self.slow else 1) / 1000)
            if self.crash is not None and self.crash(run):
                await self.crash_now()
                return None
            line = ""
            if version != self.version:
                version = self.version
                line = f"x-filbertsail-weight-versions: {version}\n"
            await connection.chunk(f"{line}id: {event}\ndata: {run['id']} text {event}\n\n".encode())
            run["sent"] += 1
        await connection.end_chunks()
        run["done"] = True
        return None

    def report(self):
        body = {"stage": "both", "models": [{"name": "lm", "version": self.version, "adapters": []}],
                "busy": time.monotonic() < self.busy_until, "sequence": self.sequence,
                "waiting": 0, "running": self.running, "kv_cache_used": 0,
                "kv_cache_total": 100_000, "handles": 0, "born": self.born}
        return http1.message(200, json.dumps(body).encode(), {"Content-Type": "application/json"})

    def order(self, order):
        if order.get("expected") is not None and order["expected"] != self.sequence:
            return http1.message(409)
        if time.monotonic() < self.busy_until:
            return http1.message(409)
        if order["version"] == self.version:
            return http1.message(200)
        self.sequence += 1
        self.busy_until = time.monotonic() + 0.9
        self.version = order["version"]
        return http1.message(202)


def text(item, events):
    """Whole output of an item."""
    return "\n".join(f"{item} text {event}" for event in range(1, events + 1))
