"""Cuts most machines of a zone from all engines, so that they go through the one
that is left. Then an engine in need answers 503 with `Retry-After`, and the requests
are counted that it still gets from each machine."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

from engines import Engine, answer_whole  # noqa: E402
from sites import config  # noqa: E402
from standins import Case, Link, answer, now, request, wait_until  # noqa: E402

ZONE_VMS = 7
CUT_VMS = 6
CONTACT_S = 3.0

RETRY_AFTER_S = 5.0
NEED_S = 7.0

# How often a client at each machine asks.
PERIOD_S = 1.0


class EngineInNeed(Engine):
    """While in need it turns every request away and says for how long it wants
    nothing from that machine."""

    def __init__(self, case, number, zone):
        self.need_from = None
        self.arrivals = []      # (time, machine, request id, status)
        super().__init__(case, number, "alert-api", zone, self.work,
                         has_model=False, slots=6)

    def work(self, _engine, reader, head, body):
        machine = self.machine_of(reader)
        request_id = head.get("X-Request-Id")
        is_in_need = (self.need_from is not None
                      and self.need_from <= now() < self.need_from + NEED_S)
        status = 503 if is_in_need else 200
        self.record.add(f"{self.id} gets {request_id} from {machine}: {status}")
        if not is_in_need:
            self.arrivals.append((now(), machine, request_id, status))
            return answer_whole(self, reader, head, body)
        answer(reader, 503, b"", {"X-Request-Id": request_id,
                                  "X-Not-Executed": "1",
                                  "Retry-After": f"{RETRY_AFTER_S:g}"})
        self.arrivals.append((now(), machine, request_id, status))
        return True

    @staticmethod
    def machine_of(reader):
        """The machine that sends: that whose link the channel came through."""
        port = reader.connection.getpeername()[1]
        wait_until(lambda: port in Link.vm_by_port, 1)
        return Link.vm_by_port.get(port, "")

    def late_arrivals(self, machine):
        """Requests from a machine between half a second after it was answered 503
        and the end of the time that this named."""
        most = []
        refusals = [entry for entry in self.arrivals
                    if entry[1] == machine and entry[3] == 503]
        for at, _, _, _ in refusals:
            late = [entry for entry in self.arrivals if entry[1] == machine
                    and at + 0.5 < entry[0] < at + RETRY_AFTER_S]
            most = max(most, late, key=len)
        return most


def ask_at(vm, offset_s, case, stopped):
    time.sleep(offset_s)
    count = 0
    while not stopped.is_set():
        count += 1
        request_id = f"{vm.name.split('-')[-1]}-{count}"
        reply = request(vm, f"/lookup/{request_id}", request_id, "key-a1",
                        headers={"X-Request-Deadline": "1500"}, wait_s=3)
        case.record.add(f"{request_id} at {vm.name} gets {reply.status}")
        stopped.wait(PERIOD_S)


def main():
    case = Case(FOLDER, sys.argv[1:] != ["off"])
    stopped = threading.Event()
    try:
        return play(case, stopped)
    finally:
        stopped.set()
        case.close()


def play(case, stopped):
    case.add_vms(["tx-central-a"] * ZONE_VMS + ["tx-central-b"])
    engines = [EngineInNeed(case, number, zone) for number, zone in
               enumerate(("tx-central-a", "tx-central-a", "tx-central-b"), 1)]
    Engine(case, 9, "brief-writer", "tx-central-a", answer_whole)
    case.store.write("op", "config", config(7))
    if not case.start_vms():
        print("the VMs didn't become ready")
        return 2
    for number, vm in enumerate(case.vms):
        threading.Thread(target=ask_at, daemon=True, args=(
            vm, PERIOD_S * number / len(case.vms), case, stopped)).start()
    if not wait_until(lambda: sum(len(engine.arrivals)
                                  for engine in engines) > 40, 10):
        print("nothing is served")
        return 2
    time.sleep(2)
    if case.trouble:
        for vm in case.vms[:CUT_VMS]:
            case.record.add(f"{vm.name} is cut from all engines")
            for engine in case.engines:
                engine.links[vm.name].cut()
    time.sleep(CONTACT_S + 1)
    engine = engines[0]
    engine.need_from = now()
    case.record.add(f"{engine.id} is in need")
    time.sleep(NEED_S + 3)
    stopped.set()
    broken = 0
    for vm in case.vms:
        late = engine.late_arrivals(vm.name)
        refused = sum(1 for entry in engine.arrivals
                      if entry[1] == vm.name and entry[3] == 503)
        broken += len(late) > 2
        text = (f"{vm.name}: {refused} refused, {len(late)} more than half a "
                f"second after a refusal and within its time"
                f"{': BROKEN RULE' if len(late) > 2 else ''}")
        case.record.add(text)
        if refused:
            print(text)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
