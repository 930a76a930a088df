"""Ends the VM that relays another one's connections while engines stream answers
that have no length, and looks at what clients get: first by SIGKILL, then by
SIGTERM."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-2"))

from engines import Engine, answer_whole  # noqa: E402
from sites import config  # noqa: E402
from standins import Case, request, wait_until  # noqa: E402

GAP_S = 0.1
STREAMS = 12

# The number of events of a stream, by how the VM ends: some 4 s, and some 11 s,
# which is more than GraceS and less than the route's TimeoutMs.
EVENTS = {"kill": 40, "stop": 110}


def events_of(request_id):
    return EVENTS[request_id.split("-")[0]]


def whole_stream(request_id):
    return b"".join(event(request_id, number)
                    for number in range(1, events_of(request_id) + 1))


def event(request_id, number):
    last = " the last" if number == events_of(request_id) else ""
    return f"id: {number}\ndata: {request_id} {number}{last}\n\n".encode()


def stream(engine, reader, head, _body):
    """Events that end with the channel, which the engine closes in order."""
    request_id = head.get("X-Request-Id")
    engine.record.add(f"{engine.id} runs {request_id}")
    reader.connection.sendall((
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Connection: close\r\n"
        f"X-Request-Id: {request_id}\r\n"
        f"X-Server-Seal: seal.{engine.id}\r\n\r\n").encode())
    for number in range(1, events_of(request_id) + 1):
        reader.connection.sendall(event(request_id, number))
        time.sleep(GAP_S)
    return False


def main():
    case = Case(FOLDER, sys.argv[1:] != ["off"])
    try:
        return play(case)
    finally:
        case.close()


def play(case):
    case.add_vms(["tx-central-a", "tx-central-b", "tx-central-c"])
    for number in range(1, 4):
        Engine(case, number, "brief-writer",
               case.vms[number - 1].zone, stream)
    Engine(case, 9, "alert-api", "tx-central-a", answer_whole,
           has_model=False)
    case.store.write("op", "config", config(7))
    if not case.start_vms():
        print("the VMs didn't become ready")
        return 2
    cut_vm, others = case.vms[0], case.vms[1:]
    if case.trouble:
        case.record.add(f"{cut_vm.name} is cut from all engines")
        for engine in case.engines:
            engine.links[cut_vm.name].cut()
    # Until the first answer the cut VM finds out who reaches the engines.
    if not wait_until(lambda: request(
            cut_vm, "/lookup/1", "settle", "key-a1").status == 200, 10):
        print("the cut VM serves nothing")
        return 2
    results = [play_phase(case, "kill", cut_vm, others[0])]
    time.sleep(4)
    results.append(play_phase(case, "stop", cut_vm, others[1]))
    return max(results) if 2 not in results else 2


def play_phase(case, how, cut_vm, relay):
    """Streams through the cut VM, while `relay` is ended. Returns 1 if one ended
    as complete too early, else 0; 2 if none was served."""
    headers = {"X-Model": "m0", "X-Token-Counts": "100,300",
               "X-Request-Deadline": "12000"}
    replies = {}

    def send(request_id):
        replies[request_id] = request(cut_vm, "/brief/1", request_id, "key-a1",
                                      "POST", headers, b"prompt")

    threads = [threading.Thread(target=send, args=(f"{how}-{index}",))
               for index in range(STREAMS)]
    for thread in threads:
        thread.start()
        time.sleep(0.05)
    time.sleep(1.5)
    if case.trouble:
        if how == "kill":
            relay.kill()
        else:
            relay.stop()
            relay.process.wait()
            case.record.add(f"{relay.name} has exited")
        time.sleep(0.5)
        relay.start()
    for thread in threads:
        thread.join()
    return judge(case, how, replies)


def judge(case, how, replies):
    broken = 0
    for request_id, reply in sorted(replies.items()):
        is_whole = reply.body == whole_stream(request_id)
        is_broken = (reply.status == 200 and reply.complete
                     and "x-server-seal" in reply.headers and not is_whole)
        broken += is_broken
        case.record.add(
            f"{request_id} gets {reply.status}, {reply.body.count(b'data:')} of "
            f"{events_of(request_id)} events, "
            f"{'ends as complete' if reply.complete else 'broken off'}"
            f"{': BROKEN RULE' if is_broken else ''}")
    served = sum(reply.body == whole_stream(request_id)
                 for request_id, reply in replies.items())
    text = (f"{how}: {len(replies)} streams, {served} whole, "
            f"{broken} end as complete before their last event")
    case.record.add(text)
    print(text)
    if served == 0:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
