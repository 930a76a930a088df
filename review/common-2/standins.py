"""Stand-ins for clients, engines and the platform's store, and the start of the
project's own processes, for the cases of this review.

Everything listens on loopback addresses and free ports. The store, the engines
and the links are threads of the script; each entry VM is a process of its own.
"""

import base64
import json
import os
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STARTED_AT = time.monotonic()


def now():
    """Seconds since the script's start, by the steady clock."""
    return time.monotonic() - STARTED_AT


class Record:
    """What was sent, answered and run, one line each, with its time."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, text):
        with self.lock:
            self.file.write(f"{now():9.3f} {text}\n")
            self.file.flush()


def bound_socket(address="127.0.0.1", port=0):
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address, port))
    listener.listen(256)
    return listener


def reset(connection):
    """Closes a connection with a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                              struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass


class Head:
    def __init__(self, text):
        lines = text.split("\r\n")
        self.first = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers.setdefault(name.strip().lower(), value.strip())

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


class Reader:
    """Reads HTTP/1.1 messages from a connection."""

    def __init__(self, connection):
        self.connection = connection
        self.data = b""

    def fill(self):
        part = self.connection.recv(65536)
        self.data += part
        return len(part) > 0

    def until(self, mark):
        while mark not in self.data:
            if not self.fill():
                return None
        text, _, self.data = self.data.partition(mark)
        return text

    def exactly(self, size):
        while len(self.data) < size:
            if not self.fill():
                return None
        text, self.data = self.data[:size], self.data[size:]
        return text

    def head(self):
        text = self.until(b"\r\n\r\n")
        return None if text is None else Head(text.decode("latin-1"))

    def chunked(self):
        """The body, and whether its last chunk has arrived."""
        body = b""
        while True:
            size = self.until(b"\r\n")
            if size is None:
                return body, False
            length = int(size.split(b";")[0], 16)
            if length == 0:
                return body, self.until(b"\r\n") is not None
            part = self.exactly(length + 2)
            if part is None:
                return body + self.data, False
            body += part[:-2]

    def request_body(self, head):
        if "chunked" in head.get("transfer-encoding"):
            return self.chunked()[0]
        return self.exactly(int(head.get("content-length", "0"))) or b""


def serve_http(listener, handle, stopped):
    """Accepts connections and calls `handle(reader, head, body)` for each
    request, until it returns False."""

    def serve(connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = Reader(connection)
        try:
            while True:
                head = reader.head()
                if head is None:
                    break
                if not handle(reader, head, reader.request_body(head)):
                    break
        except (OSError, ValueError):
            pass
        finally:
            try:
                connection.close()
            except OSError:
                pass

    def accept():
        while not stopped.is_set():
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(connection,),
                             daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def answer(reader, status, body=b"", headers=None):
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    reader.connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode()
                              + body)


class Store:
    """The platform's store in its form `table` (PROTOCOL.md): rows in tables,
    transactions under conditions, feeds of changes, and the header `Store-Era`.

    Each VM reaches it at an address of its own, so that its link can be cut,
    and reads there the engines' addresses as they are on its side of the links.
    """

    TX_S = 0.005

    def __init__(self, record, era=0):
        self.record = record
        self.lock = threading.Condition()
        self.version = 1
        self.era = era
        self.rows = {}      # (table, part, key) -> (version, value or None)
        self.copied = None
        self.is_away = False
        self.cut_vms = set()
        self.links = {}     # (vm, engine) -> address of the VM's link
        self.on_call = []   # hooks: (vm, operation, query or body, reply)
        self.stopped = threading.Event()
        self.listeners = []
        self.open = {}

    def listen(self, vm):
        listener = bound_socket()
        self.listeners.append(listener)
        serve_http(listener, lambda reader, head, body: self.handle(
            vm, reader, head, body), self.stopped)
        return "127.0.0.1:%d" % listener.getsockname()[1]

    # What the operator and the engines write.

    def write(self, table, key, value, part=""):
        with self.lock:
            self.version += 1
            raw = None if value is None else json.dumps(value).encode()
            self.rows[(table, part, key)] = (self.version, raw)
            self.lock.notify_all()
            return now()

    # Disturbances.

    def copy(self):
        with self.lock:
            self.copied = (self.version, dict(self.rows))

    def restore(self):
        """Comes back from the copy: its versions are given out again."""
        with self.lock:
            self.version, self.rows = self.copied[0], dict(self.copied[1])
            self.era += 1
            self.lock.notify_all()

    def go_away(self, away):
        with self.lock:
            self.is_away = away
            if away:
                for reader in list(self.open):
                    reset(reader.connection)
                self.open.clear()
            self.lock.notify_all()

    def cut(self, vm, is_cut):
        """Calls of a cut VM get no answer, as behind a partition."""
        with self.lock:
            if is_cut:
                self.cut_vms.add(vm)
            else:
                self.cut_vms.discard(vm)
            self.lock.notify_all()

    # The interface.

    def row_json(self, vm, place, item):
        table, part, key = place
        row = {"Table": table, "part": part, "Key": key, "RowVersion": item[0]}
        if item[1] is None:
            row["Deleted"] = True
            return row
        value = item[1]
        if table == "servers" and (vm, key) in self.links:
            entry = json.loads(value)
            entry["Address"] = self.links[(vm, key)]
            value = json.dumps(entry).encode()
        row["Value"] = base64.b64encode(value).decode()
        return row

    def send(self, vm, reader, status, body):
        with self.lock:
            if self.is_away:
                reset(reader.connection)
                return False
            if vm in self.cut_vms:
                return self.hang(vm)
            headers = {"Content-Type": "application/json"}
            if self.era:
                headers["Store-Era"] = str(self.era)
        answer(reader, status, json.dumps(body).encode(), headers)
        return True

    def hang(self, vm):
        while vm in self.cut_vms and not self.stopped.is_set():
            self.lock.wait(0.2)
        return False

    def handle(self, vm, reader, head, body):
        method, target, _ = head.first.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        with self.lock:
            self.open[reader] = True
            if self.is_away:
                reset(reader.connection)
                return False
            if vm in self.cut_vms:
                return self.hang(vm)
        if url.path == "/api/rows-get":
            status, reply = self.rows_get(vm, query)
            detail = query
        elif url.path == "/api/rows-feed":
            status, reply = self.rows_feed(vm, query)
            detail = query
        elif url.path == "/api/rows-parts":
            with self.lock:
                parts = sorted({part for table, part, _ in self.rows
                                if table == query.get("Table")})
            status, reply, detail = 200, {"parts": parts}, query
        elif url.path == "/api/rows-tx":
            detail = json.loads(body)
            time.sleep(self.TX_S)
            status, reply = self.rows_tx(vm, detail)
        else:
            status, reply, detail = 404, {}, {}
        kept = self.send(vm, reader, status, reply)
        for hook in self.on_call:
            hook(vm, url.path, detail, status)
        return kept

    def tail(self, reply):
        reply["RowVersion"] = self.version
        reply["NowMs"] = int(time.monotonic() * 1000)
        return reply

    def rows_get(self, vm, query):
        table, part = query.get("Table", ""), query.get("part", "")
        first, last = query.get("From", ""), query.get("To", "")
        limit = min(500, int(query.get("Limit", "500")))
        with self.lock:
            keys = sorted(key for t, p, key in self.rows
                          if t == table and p == part and key >= first
                          and (not last or key < last)
                          and self.rows[(t, p, key)][1] is not None)
            rows = [self.row_json(vm, (table, part, key),
                                  self.rows[(table, part, key)])
                    for key in keys[:limit]]
            return 200, self.tail({"Rows": rows, "HasMore": len(keys) > limit})

    def rows_feed(self, vm, query):
        table, after = query.get("Table", ""), int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        with self.lock:
            while True:
                if after > self.version:
                    return 410, {}
                found = sorted((item[0], place) for place, item
                               in self.rows.items()
                               if place[0] == table and item[0] > after)
                left = until - time.monotonic()
                gone = self.is_away or vm in self.cut_vms
                if found or left <= 0 or gone or self.stopped.is_set():
                    break
                self.lock.wait(left)
            rows = [self.row_json(vm, place, self.rows[place])
                    for _, place in found]
            return 200, self.tail({"Rows": rows})

    def rows_tx(self, vm, body):
        def place(entry):
            return (entry["Table"], entry.get("part", ""), entry["Key"])

        with self.lock:
            holds = True
            current = []
            for check in body.get("Precondition", []):
                item = self.rows.get(place(check), (0, None))
                version = 0 if item[1] is None else item[0]
                holds = holds and version == check["RowVersion"]
                if version:
                    current.append(self.row_json(vm, place(check), item))
            if not holds:
                return 412, {"Rows": current}
            self.version += 1
            for put in body.get("Put", []):
                self.rows[place(put)] = (self.version,
                                         base64.b64decode(put["Value"]))
            for drop in body.get("Drop", []):
                self.rows[place(drop)] = (self.version, None)
            self.lock.notify_all()
            return 200, self.tail({})


class Link:
    """A VM's link to an engine: a proxy that can be cut. While it is, open
    connections are reset and new ones refused."""

    # The VM by the port from which its link connects to an engine.
    vm_by_port = {}

    def __init__(self, vm, target):
        self.vm = vm
        self.target = target
        self.lock = threading.Lock()
        self.pairs = set()
        self.is_silent = False
        self.on_delivery = None     # hook: (bytes, when they were sent)
        self.listener = bound_socket()
        self.port = self.listener.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        threading.Thread(target=self.accept, args=(self.listener,),
                         daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
                far = socket.create_connection(self.target, timeout=2)
            except OSError:
                if self.listener is not listener:
                    return
                try:
                    reset(near)
                except UnboundLocalError:
                    return
                continue
            far.settimeout(None)
            Link.vm_by_port[far.getsockname()[1]] = self.vm
            for end in (near, far):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.pairs.add((near, far))
            threading.Thread(target=self.carry, args=(near, far),
                             daemon=True).start()

    def carry(self, near, far):
        """Passes bytes, ends and resets on, in both directions."""
        open_ends = {near: far, far: near}
        try:
            while open_ends:
                ready, _, _ = select.select(list(open_ends), [], [], 1.0)
                for end in ready:
                    part = end.recv(65536)
                    other = near if end is far else far
                    if part and self.is_silent and end is near:
                        self.keep_back(near, part)
                    if part:
                        other.sendall(part)
                    else:
                        del open_ends[end]
                        other.shutdown(socket.SHUT_WR)
            near.close()
            far.close()
        except (OSError, ValueError):
            reset(near)
            reset(far)
        with self.lock:
            self.pairs.discard((near, far))

    # When TCP sends again what wasn't acknowledged, after it was first sent.
    SENT_AGAIN_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6, 25.4)

    def keep_back(self, near, part):
        """Waits for the end of the cut, and from there on until the sender's TCP
        sends the bytes again. Raises an error if the sender has reset the
        channel: then they are lost."""
        sent_at = now()
        while self.is_silent:
            time.sleep(0.01)
        healed_at = now()
        due = next((sent_at + after for after in self.SENT_AGAIN_S
                    if sent_at + after >= healed_at), healed_at)
        time.sleep(due - healed_at)
        near.setblocking(False)
        try:
            near.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            pass
        finally:
            near.setblocking(True)
        if self.on_delivery:
            self.on_delivery(part, sent_at)

    def fall_silent(self):
        """Cuts the link: what is sent on open channels gets no acknowledgement,
        and new ones aren't opened."""
        self.is_silent = True
        listener, self.listener = self.listener, None
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()

    def speak(self):
        self.is_silent = False
        self.heal()

    def cut(self):
        with self.lock:
            pairs = list(self.pairs)
        listener, self.listener = self.listener, None
        try:
            listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        listener.close()
        for pair in pairs:
            for end in pair:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                   struct.pack("ii", 1, 0))
                    end.shutdown(socket.SHUT_RD)
                except OSError:
                    pass
                reset(end)

    def heal(self):
        self.listener = bound_socket(port=self.port)
        threading.Thread(target=self.accept, args=(self.listener,),
                         daemon=True).start()


class Vm:
    """An entry VM: the program of the deploy file, as a process of its own."""

    def __init__(self, number, zone, store, record, directory, bootstrap=True,
                 bounds=None):
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.record = record
        self.directory = directory
        self.store = store
        self.store_address = store.listen(self.name)
        self.ip = "127.%d.%d.%d" % (1 + os.getpid() % 250,
                                    1 + os.getpid() // 250 % 250, number)
        # The peer port is used for datagrams and for connections.
        uses = ("front", "ready", "relay", "peer")
        listeners = [bound_socket(self.ip) for _ in uses]
        self.ports = {use: listener.getsockname()[1]
                      for use, listener in zip(uses, listeners)}
        for listener in listeners:
            listener.close()
        self.bounds = {
            "key_withdrawal_ms": 5000, "config_apply_ms": 2000,
            "adapter_version_ms": 5000, "order_handover_ms": 3000,
            "retry_ratio": 0.2, "retry_extra": 56, "retry_window_s": 10,
            "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 17000,
            "stop_s": 8}
        self.bounds.update(bounds or {})
        self.process = None
        self.log = open(os.path.join(directory, self.name + ".log"), "ab")
        self.bootstrap = bootstrap

    def settings(self):
        """As the platform fills in deploy/entry.json.in."""
        settings = {
            "mode": "entry", "vm": self.name, "data_centre": self.zone,
            "memory_mb": 260,
            "listen": {"callers": f"{self.ip}:{self.ports['front']}",
                       "ready": f"{self.ip}:{self.ports['ready']}",
                       "address": self.ip, "peer_port": self.ports["peer"],
                       "relay_port": self.ports["relay"], "metrics_port": 0},
            "store": {"writes_per_s": 400, "reads_per_s": 2000,
                      "address": self.store_address},
            "bounds": self.bounds}
        if self.bootstrap:
            settings["bootstrap"] = True
        return settings

    def start(self):
        path = os.path.join(self.directory, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        environment = {name: os.environ[name] for name in
                       ("PATH", "HOME", "LANG") if name in os.environ}
        environment["ANVILJUNCTION_BOOT"] = path
        self.process = subprocess.Popen(
            ["target/bin/anvild", "--settings-from", "ANVILJUNCTION_BOOT"],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        # Only the first start is that of the whole system.
        self.bootstrap = False
        self.record.add(f"{self.name} starts")

    def kill(self):
        self.record.add(f"{self.name} is killed")
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self):
        self.record.add(f"{self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.ports["ready"]),
                                          timeout=1) as connection:
                connection.settimeout(1)
                connection.sendall(b"GET /api/ready HTTP/1.1\r\n"
                                   b"Host: ready\r\n\r\n")
                head = Reader(connection).head()
                return head is not None and " 200" in head.first
        except OSError:
            return False

    def close(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


def wait_until(condition, limit_s):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if condition():
            return True
        time.sleep(0.02)
    return False


class Reply:
    def __init__(self):
        self.status = 0         # 0: no whole head arrived
        self.headers = {}
        self.body = b""
        self.complete = False   # whether it looks complete in the protocol
        self.sent_at = 0.0
        self.ended_at = 0.0

    def get(self, name):
        return self.headers.get(name.lower(), "")


def request(vm, path, request_id, key="", method="GET", headers=None, body=b"",
            wait_s=20.0):
    """A client's attempt on a channel of its own."""
    reply = Reply()
    reply.sent_at = now()
    lines = [f"{method} {path} HTTP/1.1", "Host: site.example",
             f"X-Request-Id: {request_id}"]
    if key:
        lines.append(f"Authorization: Token {key}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        with socket.create_connection((vm.ip, vm.ports["front"]),
                                      timeout=1) as connection:
            connection.settimeout(wait_s)
            connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode()
                               + body)
            reader = Reader(connection)
            head = reader.head()
            if head is not None:
                reply.status = int(head.first.split(" ")[1])
                reply.headers = head.headers
                if "chunked" in head.get("transfer-encoding"):
                    reply.body, reply.complete = reader.chunked()
                else:
                    size = int(head.get("content-length", "0"))
                    whole = reader.exactly(size)
                    reply.complete = whole is not None
                    reply.body = reader.data if whole is None else whole
    except (OSError, ValueError):
        pass
    reply.ended_at = now()
    return reply


class Case:
    """Starts and ends what a script needs."""

    def __init__(self, folder, has_trouble, era=0):
        # The time limit of run.sh must not leave processes behind.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.trouble = has_trouble
        self.record = Record(os.path.join(folder, "record.txt"))
        self.directory = tempfile.mkdtemp(prefix="anvil-review-")
        self.store = Store(self.record, era)
        self.vms = []
        self.engines = []

    def add_vms(self, zones, **options):
        for zone in zones:
            self.vms.append(Vm(len(self.vms) + 1, zone, self.store,
                               self.record, self.directory, **options))

    def start_vms(self, limit_s=20):
        for vm in self.vms:
            vm.start()
        is_ready = wait_until(lambda: all(vm.is_ready() for vm in self.vms),
                              limit_s)
        for vm in [] if is_ready else self.vms:
            with open(vm.log.name, encoding="utf-8") as log:
                self.record.add(f"{vm.name}, exit {vm.process.poll()}: "
                                f"{log.read()[-800:]}")
        return is_ready

    def close(self):
        for vm in self.vms:
            vm.close()
        self.store.stopped.set()
        for engine in self.engines:
            engine.close()
        for listener in self.store.listeners:
            listener.close()
        shutil.rmtree(self.directory, ignore_errors=True)
