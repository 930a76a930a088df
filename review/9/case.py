"""The engines of a plain service say that they are brittle, and let fewer requests
wait. Then many users come at once. Counts how often engines fall over because they
had to turn too many requests away."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

from engines import Engine, answer_whole  # noqa: E402
from sites import config  # noqa: E402
from standins import Case, answer, now, request, wait_until  # noqa: E402

ENGINES = 4
SLOTS = 6
WORK_S = 0.2

# Requests that may wait at an engine, usually and while it is brittle, and the
# N of `Server-Brittle`.
QUEUE = 24
BRITTLE_QUEUE = 4
BRITTLE = 5

CONTACT_S = 3.0
DOWN_S = 3.0

USUAL_PER_S = 72
BURST_X = 1.7
BURST_S = 5.0


class BrittleEngine(Engine):
    """Runs as many requests as it has slots, lets some wait, and turns the others
    away. While brittle it falls over when it turns too many away in a second; it
    is back after some seconds, as a new lifetime."""

    def __init__(self, case, number, zone):
        self.slots_free = threading.Condition()
        self.active = 0
        self.waiting = 0
        self.brittle_from = None
        self.rejected = []
        self.falls = []
        self.down_until = 0.0
        super().__init__(case, number, "alert-api", zone, self.work,
                         has_model=False, slots=SLOTS)

    def is_down(self):
        return now() < self.down_until

    def headers(self, head):
        headers = {"X-Request-Id": head.get("X-Request-Id"),
                   "X-Server-Load": f"{self.active},{self.waiting},{SLOTS}"}
        if self.brittle_from is not None:
            headers["Server-Brittle"] = str(BRITTLE)
        return headers

    def room(self):
        is_brittle = (self.brittle_from is not None
                      and now() >= self.brittle_from + CONTACT_S)
        return BRITTLE_QUEUE if is_brittle else QUEUE

    def work(self, _engine, reader, head, _body):
        life = self.born
        if self.is_down():
            return False
        with self.slots_free:
            if self.active >= SLOTS and self.waiting >= self.room():
                return self.turn_away(reader, head)
            self.waiting += 1
            while self.active >= SLOTS and life == self.born:
                self.slots_free.wait(0.5)
            self.waiting -= 1
            if life != self.born:
                return False
            self.active += 1
        request_id = head.get("X-Request-Id")
        self.record.add(f"{self.id} runs {request_id}")
        time.sleep(WORK_S)
        with self.slots_free:
            if life != self.born:
                self.record.add(f"{self.id} has lost {request_id}")
                return False
            self.active -= 1
            self.slots_free.notify()
        headers = self.headers(head)
        headers["X-Server-Seal"] = f"seal.{self.id}"
        answer(reader, 200, b"x" * 800, headers)
        return True

    def turn_away(self, reader, head):
        """Called with the lock held."""
        self.record.add(f"{self.id} turns {head.get('X-Request-Id')} away")
        self.rejected.append(now())
        recent = [at for at in self.rejected if at > now() - 1]
        if self.brittle_from is not None and len(recent) > BRITTLE:
            self.fall(len(recent))
            return False
        headers = self.headers(head)
        headers["X-Not-Executed"] = "1"
        answer(reader, 503, b"", headers)
        return True

    def fall(self, count):
        self.record.add(f"{self.id} falls over after {count} rejections, "
                        f"{self.active} runs are lost")
        self.falls.append(now())
        self.rejected.clear()
        self.down_until = now() + DOWN_S
        self.born = int(time.time() * 1000)
        self.active = 0
        self.slots_free.notify_all()
        for link in self.links.values():
            link.cut()
        threading.Thread(target=self.come_back, daemon=True).start()

    def come_back(self):
        time.sleep(DOWN_S)
        for link in self.links.values():
            link.heal()
        self.record.add(f"{self.id} is back")
        self.write_entry()

    def write_entry(self):
        if not self.is_down():
            super().write_entry()


def send_load(case, until, per_s, replies, name):
    """Open-loop clients at all VMs, each request on a channel of its own."""
    source = random.Random(name)
    count = 0

    def send(vm, request_id):
        replies[request_id] = request(
            vm, f"/subscribe/{request_id}", request_id, "key-a1", "POST",
            {"X-Request-Deadline": "1500"}, b"body", 3)

    due = now()
    while now() < until:
        count += 1
        vm = case.vms[source.randrange(len(case.vms))]
        threading.Thread(target=send, args=(vm, f"{name}-{count}"),
                         daemon=True).start()
        due += source.uniform(0.5, 1.5) / per_s
        time.sleep(max(0.0, due - now()))


def main():
    case = Case(FOLDER, sys.argv[1:] != ["off"])
    try:
        return play(case)
    finally:
        case.close()


def play(case):
    case.add_vms(["tx-central-a", "tx-central-b", "tx-central-c"])
    engines = [BrittleEngine(case, number, case.vms[number % 3].zone)
               for number in range(1, ENGINES + 1)]
    Engine(case, 9, "brief-writer", "tx-central-a", answer_whole)
    case.store.write("op", "config", config(7))
    if not case.start_vms():
        print("the VMs didn't become ready")
        return 2
    if not wait_until(lambda: request(case.vms[0], "/lookup/1", "settle",
                                      "key-a1").status == 200, 10):
        print("nothing is served")
        return 2
    replies = {}
    start = now()
    for engine in engines:
        engine.brittle_from = start
    case.record.add(f"the engines say Server-Brittle: {BRITTLE}")
    send_load(case, start + 8, USUAL_PER_S, replies, "usual")
    case.record.add("many users come at once" if case.trouble
                    else "no more users come")
    send_load(case, start + 8 + BURST_S,
              USUAL_PER_S * (BURST_X if case.trouble else 1), replies, "burst")
    send_load(case, start + 15 + BURST_S, USUAL_PER_S, replies, "after")
    time.sleep(3)
    falls = sum(len(engine.falls) for engine in engines)
    allowed = 2 + ENGINES / 10
    statuses = {}
    for reply in list(replies.values()):
        statuses[reply.status] = statuses.get(reply.status, 0) + 1
    text = (f"{len(replies)} requests, answered {statuses}; the engines fall "
            f"over {falls} times, {allowed} are allowed"
            f"{': BROKEN RULE' if falls > allowed else ''}")
    case.record.add(text)
    print(text)
    return 1 if falls > allowed else 0


if __name__ == "__main__":
    sys.exit(main())
