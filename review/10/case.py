"""Cuts the VM that gives an engine its orders from the store, kills the VM that
takes the engine over as soon as it has written that, starts it again, and looks
at the times of the orders that the engine gets from the two machines. So it goes in
three zones of two VMs each, in two of them at a time, until the rule is broken."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

from engines import Engine, answer_whole  # noqa: E402
from sites import config  # noqa: E402
from standins import Case, now, request, wait_until  # noqa: E402

LEASE_S = 3.0
RESTART_S = 0.3
CALLERS_PER_VM = 3

# How long the store turns a machine away, and how many machines at once, of six.
AWAY_S = 8.9
MAX_CUT = threading.Semaphore(2)

ZONES = ["tx-central-a", "tx-central-b", "tx-central-c"]

# No further round begins after this time.
LAST_ROUND_AT = 65.0


def stream(engine, reader, head, _body):
    """A short answer of a model engine, in chunks."""
    request_id = head.get("X-Request-Id")
    reader.connection.sendall((
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n"
        f"X-Request-Id: {request_id}\r\n"
        f"X-Server-Seal: seal.{engine.id}\r\n\r\n").encode())
    for number in range(1, 4):
        text = f"id: {number}\ndata: {number}\n\n".encode()
        reader.connection.sendall(b"%x\r\n%s\r\n" % (len(text), text))
        time.sleep(0.02)
    reader.connection.sendall(b"0\r\n\r\n")
    return True


class Watch:
    """What the platform sees of the calls of one zone's VMs."""

    def __init__(self, case, zone):
        self.case = case
        self.vms = {vm.name for vm in case.vms if vm.zone == zone}
        self.engines = [engine for engine in case.engines
                        if engine.has_model and engine.zone == zone]
        self.lock = threading.Lock()
        self.wrote_at = {}      # vm -> time of its last conditional write
        self.victim = None
        self.is_armed = False
        self.cut_at = None
        self.taken_over_by = None
        case.store.on_call.append(self.see)

    def see(self, vm, operation, detail, status):
        if vm not in self.vms:
            return
        with self.lock:
            if operation == "/api/rows-tx" and status == 200:
                self.see_write(vm, detail)
            elif (operation == "/api/rows-get" and self.is_armed
                  and detail.get("part") == ""
                  and detail.get("Table") not in ("op", "servers")):
                self.see_read(vm)

    def see_read(self, vm):
        """Cuts the zone's other VM if this one has just read what that wrote."""
        other = next(name for name in self.vms if name != vm)
        is_holder = any(last_holder(engine).startswith(other + "@")
                        for engine in self.engines)
        if not is_holder or now() - self.wrote_at.get(other, 0) >= 0.5:
            return
        self.is_armed = False
        self.victim = other
        self.cut_at = now()
        self.case.store.cut(other, True)
        self.case.record.add(f"{other} is cut from the store")

    def see_write(self, vm, detail):
        checks = len(detail.get("Precondition", []))
        if checks == 1:
            self.wrote_at[vm] = now()
        is_takeover = (self.cut_at is not None and vm != self.victim
                       and checks > 1 and detail.get("Drop"))
        if is_takeover and self.taken_over_by is None:
            self.taken_over_by = vm
            self.case.record.add(
                f"{vm} writes under a condition and removes a row of another")

    def arm(self):
        with self.lock:
            self.victim = None
            self.cut_at = None
            self.taken_over_by = None
            self.is_armed = True


def call_all(case, stopped):
    """Clients that ask for rare adapters, some at each VM."""

    def call(number):
        random_source = random.Random(number)
        vm = case.vms[number % len(case.vms)]
        count = 0
        while not stopped.is_set():
            count += 1
            adapter = f"a{random_source.randrange(1, 3000)}"
            request(vm, "/brief/1", f"c{number}-{count}", "key-a1", "POST",
                    {"X-Model": f"m0/{adapter}", "X-Token-Counts": "100,20",
                     "X-Request-Deadline": "3000"}, b"prompt", 4)
            stopped.wait(0.05)

    threads = [threading.Thread(target=call, args=(number,), daemon=True)
               for number in range(CALLERS_PER_VM * len(case.vms))]
    for thread in threads:
        thread.start()
    return threads


def last_holder(engine):
    with engine.lock:
        return engine.orders[-1][1] if engine.orders else ""


def turns(engine):
    """Orders of one machine within the lease after those of another."""
    found = []
    with engine.lock:
        orders = list(engine.orders)
    for before, after in zip(orders, orders[1:]):
        if before[1] != after[1] and after[0] - before[0] < LEASE_S:
            found.append((before, after))
    return found


def play_round(case, watch):
    if not case.trouble:
        time.sleep(20)
        return
    with MAX_CUT:
        watch.arm()
        if not wait_until(lambda: watch.cut_at is not None, 20):
            return
        wait_until(lambda: watch.taken_over_by is not None, AWAY_S)
        case.store.cut(watch.victim, False)
        case.record.add(f"{watch.victim} reaches the store again, after "
                        f"{now() - watch.cut_at:.3f} s")
        successor = next((vm for vm in case.vms
                          if vm.name == watch.taken_over_by), None)
        if successor:
            successor.kill()
            time.sleep(RESTART_S)
            successor.start()
    time.sleep(10)


def play_zone(case, zone, engines):
    watch = Watch(case, zone)
    while now() < LAST_ROUND_AT and not any(map(turns, engines)):
        play_round(case, watch)


def main():
    case = Case(FOLDER)
    stopped = threading.Event()
    try:
        return play(case, stopped)
    finally:
        stopped.set()
        case.close()


def play(case, stopped):
    case.add_vms([zone for zone in ZONES for _ in range(2)])
    for number, zone in enumerate(ZONES * 2, 1):
        Engine(case, number, "brief-writer", zone, stream)
    Engine(case, 9, "alert-api", ZONES[0], answer_whole, has_model=False)
    case.store.write("op", "config", config(7))
    if not case.start_vms():
        print("the VMs didn't become ready")
        return 2
    engines = [engine for engine in case.engines if engine.has_model]
    call_all(case, stopped)
    if not wait_until(lambda: all(len(engine.orders) > 5
                                  for engine in engines), 20):
        print("the engines get no orders")
        return 2
    time.sleep(5)
    zones = [threading.Thread(target=play_zone, args=(case, zone, engines))
             for zone in ZONES]
    for thread in zones:
        thread.start()
    for thread in zones:
        thread.join()
    stopped.set()
    broken = 0
    for engine in engines:
        for before, after in turns(engine):
            broken += 1
            case.record.add(
                f"BROKEN RULE: {engine.id} gets an order of {after[1]} (fence "
                f"{after[2]}) {after[0] - before[0]:.3f} s after one of "
                f"{before[1]} (fence {before[2]})")
    count = sum(len(engine.orders) for engine in engines)
    text = (f"{count} orders, {broken} of them within "
            f"{LEASE_S} s after one of another machine")
    case.record.add(text)
    print(text)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
