"""A key is withdrawn. Later the store comes back from a copy that is older than
the withdrawal, and a machine is added before the operator has written the
configuration again. Counted are requests with the withdrawn key that run."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
from fleet import Fleet, Store, Target, client_headers, record, run_case  # noqa: E402

REVOKE_S = 5.0
AWAY_S = 0.5
# How long after the store's return the operator writes the configuration again.
REWRITE_S = 3.0


def config(version, keys):
    return {
        "Version": version,
        "Routes": [{
            "Name": "subscribe", "Host": "brief.example", "PathPrefix": "/subscribe/",
            "RouteType": "unsafe", "TimeoutMs": 1500, "TargetLatencyMs": 100, "Priority": 2,
            "Service": "alerts", "MaxAttempts": 1, "Public": False,
        }],
        "Services": [{"Name": "alerts", "HealthPath": "/health", "MaxConnections": 110}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "dispatch", "ApiKeys": keys, "Priority": 1}],
    }


async def case(trouble):
    store = Store()
    await store.listen()
    target = Target("alert-1")
    await target.listen()
    fleet = Fleet(store)
    sent = 0

    async def send(vm, key):
        nonlocal sent
        sent += 1
        request = f"{key}-{sent}"
        status, _, _ = await fleet.request(vm, "/subscribe/x", client_headers(request, key, 1500), timeout=1.5)
        record("client", vm=vm, request=request, status=status)
        return request, status

    async def write_entries():
        """The engine's status reports."""
        while True:
            if not store.away:
                store.put("servers", "alert-1", target.entry("alerts", "a"))
            await asyncio.sleep(1.2)

    beats = asyncio.create_task(write_entries())
    try:
        store.put("op", "config", config(1, ["sound-key", "lost-key"]))
        for index, name in enumerate(["vm-1", "vm-2"], 1):
            fleet.add(name, "a", index)
            fleet.start(name, bootstrap=True)
        await fleet.await_ready(["vm-1", "vm-2"])
        await asyncio.sleep(2)
        assert (await send("vm-1", "lost-key"))[1] == 200
        store.take_copy()
        record("the store's copy is made")
        await asyncio.sleep(0.5)
        withdrawn = config(2, ["sound-key"])
        store.put("op", "config", withdrawn)
        confirmed_at = time.monotonic()
        record("the withdrawal of lost-key is confirmed")
        await asyncio.sleep(REVOKE_S + 1)
        for vm in ["vm-1", "vm-2"]:
            assert (await send(vm, "lost-key"))[1] == 401
            assert (await send(vm, "sound-key"))[1] == 200
        late_from = time.monotonic()
        assert late_from - confirmed_at > REVOKE_S

        if trouble:
            record("the store goes away")
            await store.restore(AWAY_S)
            record("the store is back from its copy", era=store.era)
        returned_at = time.monotonic()
        fleet.add("vm-3", "a", 3)
        fleet.start("vm-3")
        is_written = False
        was_ready = False
        while time.monotonic() < returned_at + REWRITE_S + 3:
            if not is_written and time.monotonic() >= returned_at + REWRITE_S:
                is_written = True
                store.put("op", "config", withdrawn)
                record("the operator has written the withdrawal again")
            for vm in ["vm-1", "vm-2", "vm-3"]:
                if await fleet.is_ready(vm):
                    was_ready = was_ready or vm == "vm-3"
                    await send(vm, "lost-key")
            await asyncio.sleep(0.05)
        assert was_ready
        assert (await send("vm-3", "sound-key"))[1] == 200
        ran = [request for at, request in target.runs if at > late_from and request.startswith("lost-key")]
        record("requests with the withdrawn key that ran", count=len(ran))
        print(f"{len(ran)} requests with a withdrawn key ran later than RevokeMs after its withdrawal")
        return len(ran) > 0
    finally:
        beats.cancel()
        fleet.end()


run_case(HERE, case)
