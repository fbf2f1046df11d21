"""A small deployment on loopback addresses: the platform's store, backend servers, and the
project's own processes, one beside each server."""

import base64
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

import wire

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "foxtailhall")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.yaml")
HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
# Bounds of the deployments on the users' pages.
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
BOUNDS = {
    "bounds.floorShare": "0.7", "bounds.budgetRatio": "0.2", "bounds.budgetSlack": "60",
    "bounds.budgetWindow": "10s", "bounds.grace": "6s",
}

REQUEST_ID = "Foxtailhall-Request-Id"
DEADLINE = "Foxtailhall-Deadline-Ms"
SEAL = "Foxtailhall-Response-Seal"
EXPECT = "Foxtailhall-Expect-Instance"
NOT_EXECUTED = "Foxtailhall-Not-Executed"
CALLER_SERVICE = "Foxtailhall-Caller-Service"
INSTANCE = "Foxtailhall-Instance-Id"


class CouldNotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, event, **fields):
        with self.lock:
            at = self.now()
            self.file.write(json.dumps(dict({"at": round(at, 4), "event": event}, **fields)) + "\n")
            return at

    def close(self):
        self.file.close()


_used_ports = set()


def free_port():
    """Returns a free port below the range of the kernel's own ports."""
    while True:
        port = random.randrange(12000, 30000)
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


def free_address():
    return "%s:%d" % (HOST, free_port())


class Listener:
    """Accepts connections and serves each in a thread of its own."""

    def __init__(self, address, serve):
        self.address = address
        self.serve = serve
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, port = address.split(":")
        self.socket.bind((host, int(port)))
        self.socket.listen(256)
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                sock, _ = self.socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(wire.Connection(sock),), daemon=True).start()

    def _serve(self, connection):
        try:
            self.serve(connection)
        except (OSError, wire.BrokenOff, wire.Malformed):
            pass
        finally:
            connection.close()

    def close(self):
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()


class Store:
    """The platform's store: keyed topics with one partition, read by offset or by key."""

    def __init__(self):
        self.changed = threading.Condition()
        self.topics = {}
        self.listener = Listener(free_address(), self._serve)
        self.address = self.listener.address

    def publish(self, configuration):
        with self.changed:
            self.topics.setdefault("keyed.op", []).append((b"config", json.dumps(configuration).encode()))
            self.changed.notify_all()

    def _serve(self, connection):
        while True:
            line, headers = connection.read_head()
            body = connection.read_body(headers, False)
            method, target, _ = line.split(" ")
            path, _, query = target.partition("?")
            options = dict(part.partition("=")[::2] for part in query.split("&") if part)
            status, content = self._handle(method, path, options, body)
            connection.send(wire.head("HTTP/1.1 %d Status" % status, [("Content-Length", len(content))]) + content)

    def _handle(self, method, path, options, body):
        topic = options.get("topic", "")
        if (method, path) == ("POST", "/log-append"):
            return self._append(topic, body)
        if (method, path) == ("GET", "/log-read"):
            return self._read(topic, int(options["from"]), int(options.get("waitMs", 0)) / 1000)
        if (method, path) == ("GET", "/log-newest"):
            return self._newest(topic, options.get("after", "").replace("%3A", ":"))
        return 404, b""

    def _append(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b""
        records = []
        while body:
            length = struct.unpack(">I", body[:4])[0]
            key_length = body[4]
            records.append((body[5:5 + key_length], body[5 + key_length:4 + length]))
            body = body[4 + length:]
        with self.changed:
            known = self.topics.setdefault(topic, [])
            offset = len(known)
            known.extend(records)
            self.changed.notify_all()
        return 200, json.dumps({"offset": offset, "end": offset + len(records)}).encode()

    def _read(self, topic, start, wait_s):
        with self.changed:
            self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > start, wait_s)
            known = self.topics.get(topic, [])
            content = struct.pack(">QQ", len(known), 0)
            for key, value in known[start:]:
                content += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
            return 200, content

    def _newest(self, topic, after):
        with self.changed:
            known = self.topics.get(topic, [])
            newest = {}
            for offset, (key, value) in enumerate(known):
                newest[key.decode()] = (offset, value)
            items = [{"key": key, "value": base64.b64encode(newest[key][1]).decode(), "offset": newest[key][0]}
                     for key in sorted(newest) if newest[key][1] and key > after]
            return 200, json.dumps({"items": items, "hasMore": False, "end": len(known)}).encode()


class Run:
    """One request at a server, read whole."""

    def __init__(self, connection, method, target, headers, body):
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.id = headers.get(REQUEST_ID.lower(), "")

    def send_head(self, status, fields):
        """Sends the head of an answer that bears the server's seal."""
        fields = [(REQUEST_ID, self.id), (SEAL, seal(self.id))] + fields
        self.connection.send(wire.head("HTTP/1.1 %d Status" % status, fields))

    def answer(self, status, body):
        self.send_head(status, [("Content-Length", len(body))])
        self.connection.send(body)


def seal(request_id):
    return "3e1b.07." + request_id


class Server:
    """A backend server. work(server, run) runs one request, answers it, and reports
    whether the connection can be used again."""

    def __init__(self, record, service, zone, work, slots=8):
        self.record = record
        self.id = "i-%08x" % random.getrandbits(32)
        self.service = service
        self.zone = zone
        self.work = work
        self.slots = slots
        self.running = threading.Semaphore(slots)
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.control = ""
        self.beating = False
        self.listener = Listener(free_address(), self._serve)
        self.address = self.listener.address

    def _serve(self, connection):
        connection.sock.settimeout(30)
        while True:
            line, headers = connection.read_head()
            method, target, _ = line.split(" ")
            body = connection.read_body(headers, False)
            if method == "GET" and target == "/healthz":
                connection.send(wire.head("HTTP/1.1 200 OK", [(INSTANCE, self.id), ("Content-Length", 0)]))
                continue
            run = Run(connection, method, target, headers, body)
            expected = headers.get(EXPECT.lower(), self.id)
            if expected != self.id:
                self.record.write("misdirected", server=self.id, request=run.id, expected=expected)
                connection.send(wire.head("HTTP/1.1 421 Misdirected Request", [
                    (REQUEST_ID, run.id), (INSTANCE, self.id), ("Content-Length", 0)]))
                continue
            if not self.running.acquire(timeout=1):
                connection.send(wire.head("HTTP/1.1 503 Full", [
                    (REQUEST_ID, run.id), (NOT_EXECUTED, "1"), ("Content-Length", 0)]))
                continue
            try:
                if not self.work(self, run):
                    return
            finally:
                self.running.release()

    def ping(self, state):
        """Returns the method, path and body of the next ping."""
        body = {
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "maxConcurrency": self.slots},
            "status": {"state": state, "seq": next(self.sequence), "warmupLeft": "0ms"},
        }
        return "PUT", "/instances/" + self.id, json.dumps(body).encode()

    def departure(self):
        """Returns the method, path and body of the call with which the server leaves."""
        return "DELETE", "/instances/" + self.id, json.dumps({"born": self.born}).encode()

    def tell(self, method, path, body):
        """Makes one call and returns its status, 0 without an answer."""
        try:
            connection = wire.connect(self.control, 1)
            try:
                connection.send(wire.head("%s %s HTTP/1.1" % (method, path), [
                    ("Host", self.control), ("Content-Type", "application/json"), ("Content-Length", len(body)),
                    ("Connection", "close")]) + body)
                return wire.read_answer(connection).status
            finally:
                connection.close()
        except (OSError, wire.BrokenOff, wire.Malformed):
            return 0

    def start_pings(self, control):
        self.control = control
        self.beating = True
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        while self.beating:
            acked = self.tell(*self.ping("ready"))
            time.sleep(HEARTBEAT_S if acked == 200 else 0.2)


class Node:
    """One process of the project, beside one server."""

    def __init__(self, folder, name, zone, store, server):
        self.name = name
        self.server = server
        self.outbound, self.ready, self.control = free_address(), free_address(), free_address()
        ports = {"ip": HOST, "portRange.0": str(free_port()), "portRange.1": str(free_port())}
        self.settings = os.path.join(folder, name + ".yaml")
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        values = dict(BOUNDS, **ports)
        values.update({
            "listen.outbound": self.outbound, "listen.control": self.control, "listen.readyAddr": self.ready,
            "zone": zone, "platform.address": store.address, "appAddr": server.address, "service": server.service,
        })
        with open(TEMPLATE) as template, open(self.settings, "w") as settings:
            settings.write(re.sub(r"\{\{([\w.]+)\}\}", lambda found: values[found.group(1)], template.read()))
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            [PROGRAM, "run", "--settings", self.settings], cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                 "FOXTAILHALL_SETTINGS": self.settings})

    def send_signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        """Kills the process and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self):
        try:
            connection = wire.connect(self.ready, 1)
            try:
                connection.send(wire.head("GET /readyz HTTP/1.1", [("Host", self.ready), ("Connection", "close")]))
                return wire.read_answer(connection).status == 200
            finally:
                connection.close()
        except (OSError, wire.BrokenOff, wire.Malformed):
            return False


class Fleet:
    """A store, and nodes with a server each. Ends all processes on exit."""

    def __init__(self, record):
        if not os.path.exists(PROGRAM):
            raise CouldNotRun("the build of the deploy file is missing: " + PROGRAM)
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.nodes = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for node in self.nodes:
            node.server.beating = False
            node.kill()
            node.log.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def add(self, service, zone, work, slots=8):
        server = Server(self.record, service, zone, work, slots)
        node = Node(self.folder, "node-%d" % (len(self.nodes) + 1), zone, self.store, server)
        self.nodes.append(node)
        return node

    def start(self, configuration):
        """Publishes the first configuration and starts all nodes. Traffic may start on return."""
        self.store.publish(configuration)
        for node in self.nodes:
            node.start()
            node.server.start_pings(node.control)
        deadline = time.monotonic() + 20
        while not all(node.is_ready() for node in self.nodes):
            if time.monotonic() > deadline:
                raise CouldNotRun("the nodes do not become ready")
            time.sleep(0.2)
        # The pages let traffic start 8 s after the machines.
        time.sleep(5)
        for node in self.nodes:
            if node.process.poll() is not None:
                raise CouldNotRun(node.name + " has ended")


def configuration(version, routes, services):
    """Returns a configuration with the limits of the users' example."""
    entries = [{"entryType": "routes", "metadata": {"name": name}, "spec": spec} for name, spec in routes.items()]
    entries += [{"entryType": "services", "metadata": {"name": name}, "spec": {
        "healthPath": "/healthz", "maxConns": 390, "protocol": "h1", "tls": False}} for name in services]
    entries.append({"entryType": "limits", "metadata": {}, "spec": {
        "maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}})
    return {"version": "%08x" % version, "resources": entries}


def route(host, prefix, kind, service, timeout_ms, target_ms):
    return {"host": host, "pathPrefix": prefix, "type": kind, "timeout": "%dms" % timeout_ms,
            "targetLatency": "%dms" % target_ms, "priority": 1, "service": service, "maxAttempts": 2}


def new_id():
    return "%016x" % random.getrandbits(64)


def trouble():
    """Reports whether the script plays the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, play):
    """Runs play(record), which returns the violations, and exits with the result of the case."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(os.path.join(case, "record.txt"))
    try:
        violations = play(record)
    except CouldNotRun as reason:
        record.write("could not run", reason=str(reason))
        print("could not run:", reason)
        sys.exit(2)
    except Exception as reason:  # Anything else than a verdict means that the case did not run.
        record.write("could not run", reason=repr(reason))
        raise SystemExit(2) from reason
    for violation in violations:
        record.write("violation", **violation)
    for violation in violations[:10]:
        print("violation:", json.dumps(violation))
    record.write("end", violations=len(violations))
    record.close()
    print("%d violations" % len(violations))
    sys.exit(1 if violations else 0)
