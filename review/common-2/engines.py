"""A stand-in for the engines of PROTOCOL.md: one process of a service, with a
model, adapters that are loaded by orders, an entry in the store, and a link from
each VM."""

import json
import threading
import time

from standins import Link, answer, bound_socket, now, reset, serve_http

MODEL = "m0"


class Engine:
    """Keeps to the pages: runs a request only if it names this instance and an
    adapter that is here, carries out orders under their precondition, and
    reports itself."""

    ADAPTER_S = 0.25
    HEARTBEAT_S = 1.2

    def __init__(self, case, number, service, zone, run, has_model=True,
                 max_adapters=21, slots=32):
        self.case = case
        self.record = case.record
        self.id = f"i-{number:08x}"
        self.service = service
        self.zone = zone
        self.run = run
        self.has_model = has_model
        self.max_adapters = max_adapters
        self.slots = slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.adapters = {}      # name -> time from which it is ready
        self.orders = []        # (time, holder, fence, order, status)
        self.sequence = 0
        self.running = 0
        self.stopped = threading.Event()
        self.listener = bound_socket()
        self.port = self.listener.getsockname()[1]
        self.links = {}
        serve_http(self.listener, self.handle, self.stopped)
        for vm in case.vms:
            link = Link(vm.name, ("127.0.0.1", self.port))
            self.links[vm.name] = link
            case.store.links[(vm.name, self.id)] = link.address
        self.write_entry()
        threading.Thread(target=self.beat, daemon=True).start()
        case.engines.append(self)

    def models(self):
        if not self.has_model:
            return []
        held = [f"{name}@1" for name, at in sorted(self.adapters.items())
                if at <= now()]
        return [{"Name": MODEL, "Version": 1, "Adapters": held}]

    def write_entry(self):
        with self.lock:
            entry = {"Service": self.service,
                     "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
                     "Version": "v1", "Slots": self.slots,
                     "State": self.state, "ColdRemainingMs": 0,
                     "Stage": "both", "Models": self.models(),
                     "Seq": self.sequence, "born": self.born}
        if not self.case.store.is_away:
            self.case.store.write("servers", self.id, entry)

    def beat(self):
        while not self.stopped.wait(self.HEARTBEAT_S):
            self.write_entry()

    def handle(self, reader, head, body):
        method, path, _ = head.first.split(" ")
        expected = head.get("X-Expect-Instance")
        if expected and expected != self.id:
            answer(reader, 421, headers={"X-Instance-Id": self.id})
            return True
        if path == "/api/report":
            return self.report(reader)
        if path == "/api/order":
            return self.order(reader, json.loads(body))
        if path == "/health":
            answer(reader, 200, headers={"X-Instance-Id": self.id})
            return True
        model, _, adapter = head.get("X-Model").partition("/")
        with self.lock:
            here = not adapter or self.adapters.get(adapter, 1e9) <= now()
        if model and (not self.has_model or not here):
            answer(reader, 421, headers={
                "X-Request-Id": head.get("X-Request-Id"),
                "X-Not-Executed": "1"})
            return True
        return self.run(self, reader, head, body)

    def report(self, reader):
        with self.lock:
            pending = [f"{MODEL}/{name}@1" for name, at
                       in self.adapters.items() if at > now()]
            reply = {"Stage": "both", "Models": self.models(), "Busy": False,
                     "Seq": self.sequence, "Queued": 0,
                     "Active": self.running, "KvUsed": 0, "KvTotal": 117260,
                     "Handles": 0, "Pending": pending, "born": self.born}
        answer(reader, 200, json.dumps(reply).encode(),
               {"Content-Type": "application/json"})
        return True

    def order(self, reader, order):
        with self.lock:
            status = self.carry_out(order)
            self.orders.append((now(), order.get("Holder"),
                                order.get("Fence"), order, status))
        self.record.add(f"{self.id} gets the order {order['Operation']} "
                        f"{order.get('Adapter', '')} from {order.get('Holder')}"
                        f" with the fence {order.get('Fence')}: {status}")
        answer(reader, status, b"{}", {"Content-Type": "application/json"})
        return True

    def carry_out(self, order):
        if not order.get("Holder") or order.get("Fence") is None:
            return 400
        if order.get("Precondition", self.sequence) != self.sequence:
            return 409
        adapter = order.get("Adapter")
        if order["Operation"] == "load":
            if not adapter or adapter in self.adapters:
                return 200
            if len(self.adapters) >= self.max_adapters:
                self.record.add(f"{self.id} has no place for {adapter}")
                return 409
            self.adapters[adapter] = now() + self.ADAPTER_S
            self.sequence += 1
            return 202
        self.adapters.pop(adapter, None)
        self.sequence += 1
        return 200

    def close(self):
        self.stopped.set()
        self.listener.close()


def answer_whole(engine, reader, head, body, work_s=0.015, size=800):
    """An ordinary answer of a plain service, with its length."""
    time.sleep(work_s)
    answer(reader, 200, b"x" * size, {
        "X-Request-Id": head.get("X-Request-Id"),
        "X-Server-Seal": f"seal.{engine.id}"})
    return True
