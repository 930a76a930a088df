"""Stand-ins for the platform's store, engines and clients, and a launcher of
entry VMs, for the scripts of this review. Everything listens on loopback
addresses and free ports, and lives in a temporary folder."""

import asyncio
import base64
import contextvars
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RECORD = {"start": time.monotonic(), "file": None}


def record(text, **fields):
    """Writes one line to the case's record."""
    line = f"{time.monotonic() - RECORD['start']:8.3f} {text}"
    for name, value in fields.items():
        line += f" {name}={value}"
    if RECORD["file"]:
        RECORD["file"].write(line + "\n")
        RECORD["file"].flush()


def open_record(folder):
    RECORD["file"] = open(os.path.join(folder, "record.txt"), "w")
    RECORD["start"] = time.monotonic()


def free_port(address):
    """A port that is free now on a loopback address, for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((address, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((address, port))
            except OSError:
                continue
            return port


class Headers:
    def __init__(self, lines):
        self.fields = []
        for line in lines:
            name, _, value = line.partition(":")
            self.fields.append((name.strip(), value.strip()))

    def get(self, name, default=None):
        for known, value in self.fields:
            if known.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """The first line and the headers of a message; None at the end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text[:-4].split("\r\n")
    return lines[0], Headers(lines[1:])


async def read_body(reader, headers):
    if headers.get("Transfer-Encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("Content-Length", "0")))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP/1.1 server; `handle` answers one request and returns whether the
    connection stays open."""

    def __init__(self, address="127.0.0.1", port=0):
        self.address = address
        self.port = port
        self.writers = set()
        self.server = None

    async def listen(self):
        self.server = await asyncio.start_server(
            self.serve, self.address, self.port, limit=1 << 22
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                if not await self.handle(method, target, head[1], body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass  # the case ends
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        """Ends as a process does that is killed: nothing listens any more."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# The engines' addresses as the VM sees them that is being answered.
LINKS = contextvars.ContextVar("links", default={})


class StoreView(Server):
    """The store as one VM reaches it. The engines' addresses are those of the
    VM's own links to them."""

    def __init__(self, store, links):
        super().__init__(store.address)
        self.store = store
        self.links = links

    async def handle(self, *arguments):
        LINKS.set(self.links)
        return await self.store.handle(*arguments)


class Store(Server):
    """The platform's store: rows with one version counter, transactions and a
    feed. It can be away, and come back from an older copy in a new era."""

    def __init__(self, address="127.0.0.1"):
        super().__init__(address)
        self.rows = {}
        self.version = 0
        self.era = 1
        self.away = False
        self.copy = None
        self.changed = asyncio.Event()
        self.began = time.monotonic()

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or an engine does; None drops it."""
        self.version += 1
        text = None if value is None else json.dumps(value).encode()
        self.rows[(table, part, key)] = (text, self.version)
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def take_copy(self):
        self.copy = (dict(self.rows), self.version)

    async def restore(self, away_s):
        """The store is away for a while and comes back from its copy."""
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        rows, self.version = self.copy
        self.rows = dict(rows)
        self.era += 1
        self.away = False
        self.notify()

    def row(self, name):
        text, version = self.rows[name]
        row = {"Table": name[0], "part": name[1], "Key": name[2], "RowVersion": version}
        if text is None:
            row["Deleted"] = True
        else:
            if name[0] == "servers" and name[2] in LINKS.get():
                text = json.dumps(dict(json.loads(text), Address=LINKS.get()[name[2]])).encode()
            row["Value"] = base64.b64encode(text).decode()
        return row

    def answer(self, status, body):
        body.setdefault("RowVersion", self.version)
        body["NowMs"] = int((time.monotonic() - self.began) * 1000)
        words = {200: "OK", 410: "Gone", 412: "Precondition Failed", 404: "Not Found"}
        return message(
            f"HTTP/1.1 {status} {words[status]}",
            [("Content-Type", "application/json"), ("Store-Era", self.era)],
            json.dumps(body).encode(),
        )

    def get(self, query):
        table, part = query.get("Table", ""), query.get("part", "")
        begin, end = query.get("From", ""), query.get("To", "")
        limit = min(int(query.get("Limit", "500")), 500)
        names = sorted(
            name
            for name, (text, _) in self.rows.items()
            if name[0] == table
            and name[1] == part
            and text is not None
            and name[2] >= begin
            and (not end or name[2] < end)
        )
        rows = [self.row(name) for name in names[:limit]]
        return 200, {"Rows": rows, "HasMore": len(names) > limit}

    async def feed(self, query):
        after = int(query.get("after", "0"))
        until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        era = self.era
        while True:
            if after > self.version or self.era != era:
                return 410, {}
            names = [
                name
                for name, (_, version) in self.rows.items()
                if name[0] == query.get("Table", "") and version > after
            ]
            left = until - time.monotonic()
            if names or left <= 0:
                names.sort(key=lambda name: self.rows[name][1])
                return 200, {"Rows": [self.row(name) for name in names]}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        change = json.loads(body)

        def name_of(entry):
            return (entry["Table"], entry.get("part", ""), entry["Key"])

        def version_of(name):
            text, version = self.rows.get(name, (None, 0))
            return version if text is not None else 0

        checks = [(name_of(e), e["RowVersion"]) for e in change.get("Precondition", [])]
        if any(version_of(name) != wanted for name, wanted in checks):
            rows = [self.row(n) for n, _ in checks if version_of(n) > 0]
            return 412, {"Rows": rows}
        self.version += 1
        for entry in change.get("Put", []):
            value = base64.b64decode(entry["Value"])
            self.rows[name_of(entry)] = (value, self.version)
        for entry in change.get("Drop", []):
            self.rows[name_of(entry)] = (None, self.version)
        self.notify()
        return 200, {}

    async def handle(self, method, target, headers, body, writer):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if self.away:
            return False
        if parts.path == "/api/rows-get":
            reply = self.get(query)
        elif parts.path == "/api/rows-feed":
            reply = await self.feed(query)
        elif parts.path == "/api/rows-tx":
            reply = self.transact(body)
        elif parts.path == "/api/rows-parts":
            names = {n[1] for n, (t, _) in self.rows.items() if n[0] == query.get("Table") and t}
            reply = 200, {"parts": sorted(names), "HasMore": False}
        else:
            reply = 404, {}
        if self.away:
            return False
        writer.write(self.answer(*reply))
        await writer.drain()
        return True


class Target(Server):
    """An engine of a plain service: runs each request that expects it, and
    records it."""

    def __init__(self, name, work_s=0.01, address="127.0.0.1", port=0):
        super().__init__(address, port)
        self.name = name
        self.work_s = work_s
        self.runs = []
        self.arrivals = []

    def entry(self, service, zone, state="ready", **more):
        fields = {
            "Service": service,
            "Address": f"{self.address}:{self.port}",
            "Zone": zone,
            "Version": "v1",
            "Slots": 6,
            "State": state,
            "ColdRemainingMs": 0,
            "Seq": 0,
            "born": 1700000000000,
        }
        fields.update(more)
        return fields

    async def handle(self, method, target, headers, body, writer):
        expected = headers.get("X-Expect-Instance", self.name)
        if expected != self.name:
            writer.write(message("HTTP/1.1 421 Misdirected Request", [("X-Instance-Id", self.name)]))
            return True
        if target == "/health":
            writer.write(message("HTTP/1.1 200 OK", [("X-Instance-Id", self.name)]))
            return True
        request = headers.get("X-Request-Id", "")
        self.arrivals.append((time.monotonic(), request))
        return await self.run(method, target, headers, body, writer, request)

    async def run(self, method, target, headers, body, writer, request):
        self.runs.append((time.monotonic(), request))
        record("runs", target=self.name, request=request, tenant=headers.get("X-Tenant"))
        await asyncio.sleep(self.work_s)
        writer.write(
            message(
                "HTTP/1.1 200 OK",
                [("X-Request-Id", request), ("X-Server-Seal", f"seal-{self.name}"),
                 ("X-Server-Load", "1,0,6")],
                b"done " + request.encode(),
            )
        )
        await writer.drain()
        return True


class Fleet:
    """Entry VMs, each at a loopback address of its own, before one store."""

    def __init__(self, store):
        self.store = store
        self.folder = tempfile.mkdtemp(prefix="anvil-review-")
        self.vms = {}
        self.processes = []

    def add(self, name, zone, index):
        # Runs side by side keep to addresses of their own.
        address = f"127.{20 + os.getpid() % 200}.{10 + index}.1"
        self.vms[name] = {
            "zone": zone,
            "address": address,
            "ports": [free_port(address) for _ in range(4)],
            "process": None,
        }

    def start(self, name, bootstrap=False):
        vm = self.vms[name]
        store = vm.get("store", self.store)
        callers, ready, peer, relay = vm["ports"]
        settings = {
            "mode": "entry",
            "vm": name,
            "data_centre": vm["zone"],
            "memory_mb": 260,
            "bootstrap": bootstrap,
            "listen": {
                "callers": f"{vm['address']}:{callers}",
                "ready": f"{vm['address']}:{ready}",
                "address": vm["address"],
                "peer_port": peer,
                "relay_port": relay,
                "metrics_port": 0,
            },
            "store": {
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "address": f"{store.address}:{store.port}",
            },
            "bounds": {
                "key_withdrawal_ms": 5000,
                "config_apply_ms": 2000,
                "adapter_version_ms": 5000,
                "order_handover_ms": 3000,
                "retry_ratio": 0.2,
                "retry_extra": 56,
                "retry_window_s": 10,
                "quota_window_s": 8,
                "quota_overage": 0.1,
                "quota_slack": 17000,
                "stop_s": 8,
            },
        }
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, name + ".log"), "a")
        environment = dict(os.environ, ANVILJUNCTION_BOOT=path)
        vm["process"] = subprocess.Popen(
            [os.path.join(ROOT, "target/bin/anvild"), "--settings-from", "ANVILJUNCTION_BOOT"],
            cwd=ROOT, env=environment, stdout=log, stderr=log,
        )
        self.processes.append(vm["process"])
        record("vm started", vm=name)

    def kill(self, name, how=signal.SIGKILL):
        process = self.vms[name]["process"]
        process.send_signal(how)
        if how == signal.SIGKILL:
            process.wait()
        record("vm signalled", vm=name, signal=how.name)

    async def is_ready(self, name, timeout=1.0):
        vm = self.vms[name]
        reply = await call(vm["address"], vm["ports"][1], "GET", "/api/ready", [], timeout=timeout)
        return reply[0] == 200

    async def await_ready(self, names, limit=20):
        until = time.monotonic() + limit
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > until:
                    raise RuntimeError(f"{name} is not ready")
                await asyncio.sleep(0.05)

    async def request(self, name, path, headers, timeout=5.0, method="POST", body=b"x"):
        vm = self.vms[name]
        return await call(vm["address"], vm["ports"][0], method, path, headers, timeout, body)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def call(address, port, method, path, headers, timeout=5.0, body=b""):
    """Sends one request on a new connection. Returns status, headers and body;
    the status is 0 if there was no complete answer in time."""

    async def exchange():
        reader, writer = await asyncio.open_connection(address, port, limit=1 << 22)
        try:
            writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, None, b""
            status = int(head[0].split(" ")[1])
            return status, head[1], await read_body(reader, head[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None, b""


def client_headers(request, key, wait_ms, **more):
    fields = [
        ("Host", "brief.example"),
        ("X-Request-Id", request),
        ("X-Request-Deadline", str(wait_ms)),
        ("Authorization", f"Token {key}"),
    ]
    return fields + [(name.replace("_", "-"), value) for name, value in more.items()]


def run_case(folder, case):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2
    if the case couldn't run."""
    open_record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A case that is stopped ends what it has started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record("begins", trouble=trouble)
    try:
        broken = asyncio.run(asyncio.wait_for(case(trouble), 110))
    except Exception as problem:  # the case could not run
        record("could not run", problem=repr(problem))
        print("could not run:", repr(problem))
        sys.exit(2)
    record("ends", broken=broken)
    sys.exit(1 if broken else 0)
