"""Resumable streams run while the store comes back from an older copy. Later the
VM that carries them is stopped as planned, and their clients take them up at the
other VMs. Counted are the streams that go on, beside new ones that begin."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
from fleet import Fleet, Store, Target, client_headers, message, read_head, record, run_case  # noqa: E402

AWAY_S = 0.5
CONTACT_S = 3.0
EVENTS = 150
EVENT_S = 0.1
WAIT_MS = 20000
STREAMS = 16
VMS = ["vm-1", "vm-2", "vm-3"]


class StreamTarget(Target):
    """An engine that sends numbered events, from the one after Last-Event-Id."""

    async def run(self, method, target, headers, body, writer, request):
        after = int(headers.get("Last-Event-Id", "0"))
        record("runs", target=self.name, request=request, after=after)
        writer.write(message(
            "HTTP/1.1 200 OK",
            [("X-Request-Id", request), ("X-Server-Seal", "seal-" + self.name),
             ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")],
        ).replace(b"Content-Length: 0\r\n", b""))
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: words\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def config():
    return {
        "Version": 1,
        "Routes": [{
            "Name": "detour", "Host": "brief.example", "PathPrefix": "/detour/",
            "RouteType": "streaming", "TimeoutMs": WAIT_MS, "TargetLatencyMs": 1000, "Priority": 1,
            "Service": "writer", "MaxAttempts": 2, "Public": False, "Resumable": True,
            "TargetGapMs": 300,
        }],
        "Services": [{"Name": "writer", "HealthPath": "/health", "MaxConnections": 240}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "dispatch", "ApiKeys": ["k1"], "Priority": 1}],
    }


async def stream(fleet, vm, headers, upto=EVENTS):
    """Reads a stream. Returns the status and the numbers of its whole events."""
    place = fleet.vms[vm]
    status, events = 0, []
    writer = None
    try:
        reader, writer = await asyncio.open_connection(place["address"], place["ports"][0])
        writer.write(message("POST /detour/x HTTP/1.1", headers, b"x"))
        head = await read_head(reader)
        if head is None:
            return 0, events
        status = int(head[0].split(" ")[1])
        while status == 200:
            size = int((await reader.readline()).strip() or b"0", 16)
            if size == 0:
                break
            for event in (await reader.readexactly(size + 2))[:-2].decode().split("\n\n"):
                if event.startswith("id: "):
                    events.append(int(event.split("\n")[0][4:]))
            if events and events[-1] >= upto:
                break
    except (OSError, ValueError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer:
            writer.close()
    return status, events


async def case(trouble):
    store = Store()
    await store.listen()
    targets = [StreamTarget(f"writer-{n}") for n in range(1, 4)]
    fleet = Fleet(store)

    async def write_entries():
        """The engines' status reports."""
        while True:
            if not store.away:
                for target in targets:
                    store.put("servers", target.name, target.entry("writer", "a", Slots=32))
            await asyncio.sleep(1.2)

    beats = None
    try:
        for target in targets:
            await target.listen()
        store.put("op", "config", config())
        beats = asyncio.create_task(write_entries())
        for index, name in enumerate(VMS, 1):
            fleet.add(name, "a", index)
            fleet.start(name, bootstrap=True)
        await fleet.await_ready(VMS)
        await asyncio.sleep(3)
        store.take_copy()
        record("the store's copy is made")
        await asyncio.sleep(2)
        begun_at = time.monotonic()
        running = [
            asyncio.create_task(stream(fleet, "vm-1", client_headers(f"first-{n}", "k1", WAIT_MS)))
            for n in range(STREAMS)
        ]
        await asyncio.sleep(1)
        if trouble:
            record("the store goes away")
            await store.restore(AWAY_S)
            record("the store is back from its copy", era=store.era)
        await asyncio.sleep(CONTACT_S + 0.5)
        fleet.kill("vm-1", signal.SIGTERM)

        taken_up = gone_on = 0

        async def take_up(number):
            nonlocal taken_up, gone_on
            status, events = await running[number]
            record("first stream ended", number=number, status=status, events=len(events))
            if not events or events[-1] == EVENTS:
                return
            taken_up += 1
            for attempt in range(2):
                vm = VMS[1 + (number + attempt) % 2]
                left = WAIT_MS - int((time.monotonic() - begun_at) * 1000)
                headers = client_headers(f"again-{number}-{attempt}", "k1", left, Last_Event_Id=str(events[-1]),
                                         Resumes=f"first-{number}")
                status, more = await stream(fleet, vm, headers, events[-1] + 3)
                record("taken up", number=number, attempt=attempt, vm=vm, after=events[-1], status=status,
                       next=more[0] if more else None)
                if more and more[0] == events[-1] + 1:
                    gone_on += 1
                    return

        await asyncio.gather(*[take_up(n) for n in range(STREAMS)])
        fresh = await asyncio.gather(*[
            stream(fleet, VMS[1 + n % 2], client_headers(f"new-{n}", "k1", WAIT_MS), 1) for n in range(STREAMS)
        ])
        begun = sum(1 for status, events in fresh if events)
        record("counts", taken_up=taken_up, gone_on=gone_on, new=STREAMS, begun=begun)
        print(f"{gone_on} of {taken_up} streams that were taken up went on; {begun} of {STREAMS} new ones began")
        assert taken_up >= 12, "too few streams were taken up"
        return gone_on / taken_up < begun / STREAMS / 2
    finally:
        if beats:
            beats.cancel()
        fleet.end()


run_case(HERE, case)
