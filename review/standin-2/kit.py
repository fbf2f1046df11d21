"""Stand-ins for the review cases 6 to 10: the platform's store, backend servers, clients and
machines. Everything runs on loopback addresses in one asyncio program; only the processes of
foxtailhall are started as processes of their own, with the command of the deploy file."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "foxtailhall")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """Writes what happened to record.txt, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_ports(ip, count):
    """Returns ports that are free at an address, below the range for outgoing connections."""
    found = []
    while len(found) < count:
        port = random.randrange(11000, 31000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


async def read_head(reader):
    """Reads a message's head and returns its first line and its header fields."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body that has a length or is chunked."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size) if size else b""
            await reader.readuntil(b"\r\n")
            if not size:
                return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def call(address, method, path, body=b"", timeout=1.0):
    """Makes one HTTP call on a connection of its own and returns its status."""
    async def exchange():
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
                          f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n").encode() + body)
            line, _ = await read_head(reader)
            return int(line.split()[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0


class Store:
    """The platform's store: a log with topics of keyed records. It loses nothing."""

    def __init__(self, record, ip):
        self.record = record
        self.ip, self.port = ip, free_ports(ip, 1)[0]
        self.address = f"{self.ip}:{self.port}"
        self.topics = {}
        self.appended = asyncio.Event()
        self.era = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def topic(self, name):
        return self.topics.setdefault(name, [])

    def put(self, name, key, value):
        """Writes a record as the operator or a node does."""
        self.topic(name).append((key, value))
        self.appended.set()
        self.appended = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
                status, kind, answer = await self.handle(path, args, body)
                head = f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(answer)}\r\n"
                if self.era is not None:
                    head += f"Store-Era: {self.era}\r\n"
                writer.write(head.encode() + b"\r\n" + answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, path, args, body):
        await asyncio.sleep(0.004)
        name = args.get("topic", "")
        if path == "/log-append":
            first = len(self.topic(name))
            while body:
                size = struct.unpack(">I", body[:4])[0]
                content, body = body[4:4 + size], body[4 + size:]
                key = content[1:1 + content[0]].decode()
                self.put(name, key, content[1 + content[0]:])
            return 200, "application/json", json.dumps({"offset": first, "end": len(self.topic(name))}).encode()
        if path == "/log-newest":
            after = re.sub(r"%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), args.get("after", ""))
            newest = {}
            for offset, (key, value) in enumerate(self.topic(name)):
                newest[key] = (value, offset)
            keys = sorted(key for key, (value, _) in newest.items() if value and key > after)
            items = [{"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
                     for key in keys[:500]]
            return 200, "application/json", json.dumps(
                {"items": items, "hasMore": len(keys) > 500, "end": len(self.topic(name))}).encode()
        if path == "/log-read":
            start, wait = int(args["from"]), int(args.get("waitMs", "0")) / 1000
            until = time.monotonic() + wait
            while len(self.topic(name)) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(asyncio.shield(asyncio.ensure_future(self.appended.wait())),
                                           until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            records = self.topic(name)
            if start > len(records):
                return 410, "application/json", b'{"first":0}'
            answer = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                answer += struct.pack(">I", len(content)) + content
            return 200, "application/octet-stream", answer
        return 404, "text/plain", b""


class Server:
    """A sound backend server. It runs requests in its slots, queues a few, seals its answers and
    answers 421 to a request that is meant for another instance."""

    def __init__(self, record, machine, name, slots, work, born=None):
        self.record, self.machine, self.name = record, machine, name
        self.service, self.slots, self.work = machine.service, slots, work
        self.born = int(time.time() * 1000) if born is None else born
        self.seq = 0
        self.busy = 0
        self.queued = 0
        self.free = asyncio.Condition()
        self.leaving = False
        # extra holds header fields that each answer carries.
        self.extra = {}
        # runs holds (time, id, caller service) of the requests that ran.
        self.runs = []
        self.ended = 0
        self.answer_bytes = 200
        self.server = None
        self.tasks = set()
        self.writers = set()
        self.stopped = False
        # quiet leaves the runs out of the record.
        self.quiet = False

    async def start(self):
        host, _, port = self.machine.app.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def stop(self):
        """Ends the server as a process does: its connections close at once."""
        self.stopped = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    def beat(self, state):
        """Returns the next announcement of the server."""
        self.seq += 1
        return json.dumps({
            "address": self.machine.app, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.machine.zone, "maxConcurrency": self.slots},
            "status": {"state": state, "seq": self.seq, "warmupLeft": "0ms"},
        }).encode()

    async def announce(self, state, late=0.0):
        """Sends one announcement, which arrives late by some seconds, and returns the answer's status."""
        body, sent = self.beat(state), self.record.now()
        await asyncio.sleep(late)
        status = await call(self.machine.control, "PUT", f"/instances/{self.name}", body)
        self.record.write(f"announcement {self.name} born {self.born} state {state} sent at {sent:.3f} "
                          f"-> {status or 'no answer'}")
        return status

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.answer(line, fields, body, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def answer(self, line, fields, body, writer):
        identity = fields.get("foxtailhall-request-id", "")
        head = {"Foxtailhall-Request-Id": identity, "Foxtailhall-Instance-Id": self.name, **self.extra}
        if fields.get("foxtailhall-expect-instance", self.name) != self.name:
            return await self.send(writer, 421, head, b"")
        if self.busy >= self.slots and self.queued >= 8 * self.slots:
            return await self.send(writer, 503, {**head, "Foxtailhall-Not-Executed": "1"}, b"")
        self.queued += 1
        async with self.free:
            await self.free.wait_for(lambda: self.busy < self.slots)
            self.busy += 1
        self.queued -= 1
        self.runs.append((self.record.now(), identity, fields.get("foxtailhall-caller-service", ""), line))
        if not self.quiet:
            self.record.write(f"runs {identity} at {self.name} for {fields.get('foxtailhall-caller-service', '')}: "
                              f"{line.rsplit(' ', 1)[0]}")
        try:
            await asyncio.sleep(self.work)
        finally:
            async with self.free:
                self.busy -= 1
                self.free.notify()
        self.ended += 1
        size = self.answer_bytes(line) if callable(self.answer_bytes) else self.answer_bytes
        await self.send(writer, 200, {**head, **self.extra, "Foxtailhall-Response-Seal": f"seal.{identity}"},
                        answer_body(identity, size))

    async def send(self, writer, status, head, body):
        load = f"{self.busy},{self.queued},{self.slots}"
        text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\nFoxtailhall-Server-Load: {load}\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in head.items())
        writer.write(text.encode() + b"\r\n" + body)
        await writer.drain()


def answer_body(identity, size):
    """Returns the body of the answer to a request, which names the request throughout."""
    line = f"answer to {identity}\n".encode()
    return (line * (size // len(line) + 1))[:size]


class Machine:
    """A machine with one process of foxtailhall, started from the template of the settings."""

    def __init__(self, case, index, service, zone, bounds, memory=284, fds=4100):
        self.case, self.index, self.service, self.zone = case, index, service, zone
        self.ip = f"127.{case.net}.0.{index}"
        ports = free_ports(self.ip, 6)
        self.outbound, self.control, self.ready, self.app = (f"{self.ip}:{port}" for port in ports[:4])
        self.settings = os.path.join(case.folder, f"machine-{index}.yaml")
        self.log = os.path.join(case.folder, f"machine-{index}.log")
        self.process = None
        values = {
            "listen.outbound": self.outbound, "listen.control": self.control, "listen.readyAddr": self.ready,
            "ip": self.ip, "portRange.0": str(ports[4]), "portRange.1": str(ports[5]), "zone": zone,
            "platform.address": case.store.address, "appAddr": self.app, "service": service,
            "limits.memoryMb": str(memory), "limits.maxFds": str(fds),
            **{f"bounds.{name}": str(value) for name, value in bounds.items()},
        }
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as template:
            text = template.read()

        def section(match):
            return match.group(2) if match.group(1) in values else ""
        text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda match: values[match.group(1)], text)
        with open(self.settings, "w", encoding="utf-8") as target:
            target.write(text)

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "run", "--settings", self.settings, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""), "FOXTAILHALL_SETTINGS": self.settings})
        self.case.processes.append(self.process)
        self.case.record.write(f"machine {self.index} ({self.service}) starts a process")

    def signal(self, number):
        self.case.record.write(f"machine {self.index} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory(self):
        """Returns what counts toward the process's memory in bytes: its resident memory and the bytes
        that it has received and not read yet."""
        pid = self.process.pid
        try:
            with open(f"/proc/{pid}/statm", encoding="ascii") as file:
                resident = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
            links = [os.readlink(f"/proc/{pid}/fd/{name}") for name in os.listdir(f"/proc/{pid}/fd")]
        except OSError:
            return 0, 0
        inodes = {link[8:-1] for link in links if link.startswith("socket:[")}
        unread = 0
        with open("/proc/net/tcp", encoding="ascii") as file:
            next(file)
            for line in file:
                fields = line.split()
                # Listening sockets have the state 0A and count connections, not bytes.
                if fields[3] != "0A" and fields[9] in inodes:
                    unread += int(fields[4].split(":")[1], 16)
        return resident, unread

    async def is_ready(self):
        return await call(self.ready, "GET", "/readyz") == 200


class Case:
    """One case: a store, machines and what is recorded."""

    def __init__(self, folder, bounds):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = random.randrange(20, 250)
        self.bounds = bounds
        self.store = Store(self.record, f"127.{self.net}.0.250")
        self.machines, self.servers, self.processes, self.background = [], [], [], []
        self.version = 0
        self.sent = 0

    async def machine(self, service, zone, **limits):
        machine = Machine(self, len(self.machines) + 1, service, zone, self.bounds, **limits)
        self.machines.append(machine)
        await machine.start()
        return machine

    def publish(self, routes, services, limits=None):
        """Writes a configuration as the operator does."""
        self.version += 1
        resources = [{"entryType": "services", "metadata": {"name": name},
                      "spec": {"healthPath": "/healthz", "maxConns": 1000, "protocol": "h1", "tls": False}}
                     for name in services]
        resources += [{"entryType": "routes", "metadata": {"name": route.pop("name")}, "spec": route} for route in routes]
        resources.append({"entryType": "limits", "metadata": {"name": "limits"}, "spec": limits or {
            "maxHeaderBytes": 16384, "maxBodyBytes": 1 << 24, "headerTimeout": "5000ms", "idleTimeout": "20000ms"}})
        self.store.put("keyed.op", "config", json.dumps(
            {"version": f"{self.version:08x}", "resources": resources}).encode())
        self.record.write(f"configuration {self.version} is in the store")

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.background.append(task)
        return task

    async def beats(self, server, period=1.5):
        """Sends the announcements of a calm server."""
        while not server.stopped and not server.leaving:
            self.spawn(server.announce("ready"))
            await asyncio.sleep(period)

    async def serving(self, machine, path, seconds=15):
        """Waits until a machine is ready and serves a request."""
        async def serves():
            return await machine.is_ready() and (await self.request(machine, "GET", path, 2000))[1] == 200
        await self.until(f"machine {machine.index} serves", serves, seconds)

    async def until(self, what, condition, seconds):
        """Waits until a condition holds, or gives the case up."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{what} not within {seconds} s")

    def new_id(self):
        self.sent += 1
        return f"{self.sent:06x}{random.getrandbits(40):010x}"

    async def request(self, machine, method, path, budget_ms, body=b"", identity=None, headers=""):
        """Sends one request on a connection of its own. Returns its id, status (0: none), fields and
        whether the answer is whole."""
        identity = identity or self.new_id()

        async def exchange():
            host, _, port = machine.outbound.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request_bytes(method, path, identity, budget_ms, body, headers))
                line, fields = await read_head(reader)
                answer = await read_body(reader, fields)
                return int(line.split()[1]), fields, answer
            finally:
                writer.close()
        sent = self.record.now()
        try:
            status, fields, answer = await asyncio.wait_for(exchange(), budget_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
            status, fields, answer = 0, {}, b""
            self.record.write(f"request {identity} at machine {machine.index}: {type(error).__name__}")
        self.record.write(f"request {identity} {method} {path} at machine {machine.index} sent {sent:.3f} -> {status}"
                          + (" leaving" if fields.get("server-leaving") else ""))
        return identity, status, fields, answer

    async def close(self):
        for task in self.background:
            task.cancel()
        # A start that is cancelled midway ends its process itself.
        await asyncio.gather(*self.background, return_exceptions=True)
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def request_bytes(method, path, identity, budget_ms, body=b"", headers=""):
    """Returns the bytes of a client's request."""
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: review.example\r\nFoxtailhall-Request-Id: {identity}\r\n"
            f"Foxtailhall-Deadline-Ms: {budget_ms}\r\n{headers}{length}\r\n").encode() + body


def main(folder, bounds, play, limit=110):
    """Plays a case and exits with 0 if the rule held, 1 if it was broken and 2 if it could not run."""
    async def run():
        case = Case(folder, bounds)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        case.record.write(f"trouble: {'yes' if TROUBLE else 'no'}")
        try:
            if not os.access(PROGRAM, os.X_OK):
                raise CouldNotRun("the program is not built")
            await case.store.start()
            broken = await asyncio.wait_for(play(case), limit)
            verdict = BROKEN if broken else HELD
        except (Exception, asyncio.CancelledError) as error:  # Anything else than a verdict.
            case.record.write(f"could not run: {error!r}")
            verdict = NOT_RUN
        finally:
            await case.close()
        case.record.write({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[verdict])
        return verdict
    verdict = asyncio.run(run())
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[verdict])
    sys.exit(verdict)
