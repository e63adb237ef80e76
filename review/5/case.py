"""A trainer keeps a batch open for longer than the retention of ended batches."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "../stand"))

import fleet
from store import Store
from worker import Worker

ITEMS = 8
STATUS_TTL_S = 20
OPEN_S = 85


async def case(folder, record, vms):
    store = Store()
    routes = [fleet.route("lots", "rollout", "engines")]
    await store.put("op", "config", fleet.config(1, routes, {"engines": True}))
    for number in range(2):
        await Worker.start(store, f"w-{number}", "engines", record)
    for index in (1, 2):
        bounds = {"status_ttl_s": STATUS_TTL_S}
        vms.append(fleet.Vm(folder, index, await store.endpoint(), record, bounds))
        vms[-1].start()
    for vm in vms:
        await vm.wait_ready()

    items = {f"a{n}": (f"/lots/{n}", 20) for n in range(ITEMS)}
    if await fleet.submit(vms[0], "/lots/1", "step-0", fleet.batch(items), record) != 202:
        raise fleet.CannotRun("the batch was not accepted")
    submitted = time.monotonic()
    first = await fleet.read_all(vms, "step-0", ITEMS, 15, record)
    if len(first) < ITEMS:
        raise fleet.CannotRun("the batch was not listed in time")
    if not fleet.TROUBLE:
        await fleet.end_batch(vms[0], "step-0", record)

    lost = 0
    # An ended batch is owed until the retention is over, an open one for as long as it is open.
    owed_s = OPEN_S if fleet.TROUBLE else STATUS_TTL_S - 2
    while time.monotonic() < submitted + owed_s:
        await asyncio.sleep(5)
        for vm in vms:
            status, page = await fleet.read_results(vm, "step-0", 0, wait_ms=0)
            count = len(page["results"]) if page else None
            record(f"read of step-0 from the start at {vm.name}: {status}, {count} results")
            same = page is not None and page["results"] == first
            lost += status == 404 or (status == 200 and not same)
    record(f"reads that did not give the results that had been read: {lost}")
    return lost == 0


fleet.run(case, HERE)
