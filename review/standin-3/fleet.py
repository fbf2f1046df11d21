"""Stand-ins of the platform for the cases of this review.

A Fleet starts real processes of the program on loopback addresses, beside backend
servers, and plays the platform's store. Callers are functions of the cases. Everything
that was sent, answered and run is written to record.txt with the time since the start.
"""
import base64
import http.client
import http.server
import json
import os
import random
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = [os.path.join(ROOT, "target", "foxtailhall"), "run", "--settings"]
REQUEST_ID = "Foxtailhall-Request-Id"
DEADLINE = "Foxtailhall-Deadline-Ms"
SEAL = "Foxtailhall-Response-Seal"
NOT_EXECUTED = "Foxtailhall-Not-Executed"
EXPECT_INSTANCE = "Foxtailhall-Expect-Instance"
CALLER_PORT, PEER_PORT, ADMIN_PORT, CONTROL_PORT, READY_PORT, SERVER_PORT, STORE_PORT = 8304, 7620, 7621, 8306, 8302, 8301, 8309
HEARTBEAT = 1.5
RESTART_DELAY = 0.3


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """Writes the events of a run, in the order in which they happened."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        at = self.now()
        with self.lock:
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            self.file.write(f"{at:9.3f} {event} {text}\n")
            self.file.flush()
        return at


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers on kept connections and writes no log of its own."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def answer(self, status, body=b"", headers=(), content="text/plain"):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        if body:
            self.send_header("Content-Type", content)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def body(self):
        if "chunked" not in self.headers.get("Transfer-Encoding", ""):
            return self.rfile.read(int(self.headers.get("Content-Length") or 0))
        body = b""
        while True:
            size = int(self.rfile.readline().split(b";")[0], 16)
            part = self.rfile.read(size)
            self.rfile.readline()
            if size == 0:
                return body
            body += part


class Listener(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


def listen(address, handler):
    listener = Listener(address, handler)
    threading.Thread(target=listener.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    return listener


class Store:
    """The platform's store: topics with one partition, read by offset or by newest key."""

    def __init__(self, address):
        self.changed = threading.Condition()
        self.topics = {}
        store = self

        class Calls(Handler):
            def do_POST(self):
                store.append(self)

            def do_GET(self):
                store.read(self) if self.path.startswith("/log-read") else store.newest(self)

        self.listener = listen(address, Calls)

    @staticmethod
    def query(path):
        text = path.partition("?")[2]
        parts = [part.partition("=") for part in text.split("&") if part]
        return {name: http_unquote(value) for name, _, value in parts}

    def publish(self, configuration):
        self.add("keyed.op", [(b"config", json.dumps(configuration).encode())])

    def add(self, topic, records):
        with self.changed:
            kept = self.topics.setdefault(topic, [])
            offset = len(kept)
            kept.extend(records)
            self.changed.notify_all()
            return offset, len(kept)

    def append(self, call):
        topic, raw, records = self.query(call.path)["topic"], call.body(), []
        while raw:
            length = struct.unpack(">I", raw[:4])[0]
            one, raw = raw[4:4 + length], raw[4 + length:]
            records.append((one[1:1 + one[0]], one[1 + one[0]:]))
        time.sleep(0.004)
        offset, end = self.add(topic, records)
        call.answer(200, json.dumps({"offset": offset, "end": end}).encode(), [("Store-Era", "1")], "application/json")

    def read(self, call):
        query = self.query(call.path)
        start, until = int(query["from"]), time.monotonic() + int(query.get("waitMs", "0")) / 1000
        with self.changed:
            while True:
                kept = self.topics.setdefault(query["topic"], [])
                left = until - time.monotonic()
                if len(kept) != start or left <= 0:
                    break
                self.changed.wait(left)
            kept = list(kept)
        if start > len(kept):
            call.answer(410, b'{"first":0}', [("Store-Era", "1")], "application/json")
            return
        body = struct.pack(">QQ", len(kept), 0)
        for key, value in kept[start:]:
            one = bytes([len(key)]) + key + value
            body += struct.pack(">I", len(one)) + one
        call.answer(200, body, [("Store-Era", "1")], "application/octet-stream")

    def newest(self, call):
        query = self.query(call.path)
        with self.changed:
            kept = list(self.topics.setdefault(query["topic"], []))
        values = {}
        for offset, (key, value) in enumerate(kept):
            values[key] = (value, offset)
        after = query.get("after", "").encode()
        items = [
            {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(values.items()) if value and key > after
        ]
        body = json.dumps({"items": items[:500], "hasMore": len(items) > 500, "end": len(kept)}).encode()
        call.answer(200, body, [("Store-Era", "1")], "application/json")


def http_unquote(text):
    from urllib.parse import unquote_plus
    return unquote_plus(text)


class Server:
    """One lifetime of a backend server. It runs up to slots requests at once and queues as many."""

    def __init__(self, vm, name, service, slots=4, work=0.05, born_ms=None, on_answer=None, on_run=None):
        self.vm, self.name, self.service, self.slots, self.work = vm, name, service, slots, work
        self.born_ms = int(time.time() * 1000) if born_ms is None else born_ms
        self.on_answer = on_answer or (lambda server: [])
        # on_run is called while a request runs, with its id and the time left to it in seconds.
        self.on_run = on_run or (lambda server, request, left: time.sleep(min(server.work, left)))
        self.state, self.sequence, self.pinging = "ready", 0, True
        self.free = threading.Semaphore(slots)
        self.waiting = threading.Semaphore(slots)
        self.runs = []
        self.open = set()
        server = self

        class Requests(Handler):
            def setup(self):
                super().setup()
                server.open.add(self.connection)

            def finish(self):
                server.open.discard(self.connection)
                try:
                    super().finish()
                except OSError:
                    pass

            def do_GET(self):
                server.serve(self)

            do_POST = do_GET

        self.listener = listen((vm.ip, SERVER_PORT), Requests)
        self.record = vm.fleet.record
        self.record.write("ServerStarted", vm=vm.ip, server=name, born=self.born_ms)
        threading.Thread(target=self.keep_pinging, daemon=True).start()

    def serve(self, call):
        request, body = call.headers.get(REQUEST_ID, ""), call.body()
        base = [(REQUEST_ID, request), ("Keep-Alive", "timeout=10")]
        if call.headers.get(EXPECT_INSTANCE) != self.name:
            call.answer(421, b"", base + [(NOT_EXECUTED, "1")])
            return
        extra = self.on_answer(self)
        if not self.waiting.acquire(blocking=False):
            call.answer(503, b"", base + extra + [(NOT_EXECUTED, "1")])
            return
        try:
            left = int(call.headers.get(DEADLINE, "1000")) / 1000
            if not self.free.acquire(timeout=left):
                call.answer(503, b"", base + extra + [(NOT_EXECUTED, "1")])
                return
            try:
                at = self.record.write("Run", vm=self.vm.ip, server=self.name, request=request, path=call.path)
                self.runs.append((at, request))
                self.on_run(self, request, left)
                text = f"answer to {request}, {len(body)} bytes".encode()
                call.answer(200, text, base + self.on_answer(self) + [(SEAL, "seal-" + request)])
            finally:
                self.free.release()
        finally:
            self.waiting.release()

    def ping_body(self):
        self.sequence += 1
        return json.dumps({
            "address": f"{self.vm.ip}:{SERVER_PORT}", "born": self.born_ms,
            "info": {"service": self.service, "version": "v1", "zone": self.vm.zone, "maxConcurrency": self.slots},
            "status": {"state": self.state, "seq": self.sequence, "warmupLeft": "0ms"},
        }).encode()

    def call(self, method, body):
        """Calls the process beside, and returns the status, or 0 without an answer within a second."""
        try:
            connection = http.client.HTTPConnection(self.vm.ip, CONTROL_PORT, timeout=1)
            connection.request(method, "/instances/" + self.name, body, {"Content-Type": "application/json"})
            status = connection.getresponse().status
            connection.close()
            return status
        except OSError:
            return 0

    def ping(self):
        status = self.call("PUT", self.ping_body())
        self.record.write("Ping", vm=self.vm.ip, server=self.name, state=self.state, status=status)
        return status

    def ping_late(self, delay):
        """Sends a ping now that arrives after a delay."""
        body, state = self.ping_body(), self.state
        self.record.write("LatePingSent", vm=self.vm.ip, server=self.name, state=state)

        def arrive():
            time.sleep(delay)
            status = self.call("PUT", body)
            self.record.write("LatePingArrived", vm=self.vm.ip, server=self.name, state=state, status=status)

        threading.Thread(target=arrive, daemon=True).start()

    def keep_pinging(self):
        while self.pinging:
            self.ping()
            time.sleep(HEARTBEAT)

    def drain(self):
        """Reports draining until that is acknowledged, and returns when it was."""
        self.pinging, self.state = False, "draining"
        for _ in range(20):
            if self.ping() == 200:
                return self.record.now()
            time.sleep(0.3)
        raise CannotRun("the server's leaving was not acknowledged")

    def deregister(self, body=b""):
        """Deregisters until that is acknowledged, and returns when it was."""
        self.pinging = False
        for _ in range(40):
            status = self.call("DELETE", body)
            self.record.write("Deregistered", vm=self.vm.ip, server=self.name, status=status)
            if status == 200:
                return self.record.now()
            time.sleep(0.1)
        raise CannotRun("the server's leaving was not acknowledged")

    def end(self):
        """Ends the server's process: its port and connections close."""
        self.pinging = False
        self.listener.shutdown()
        self.listener.server_close()
        for connection in list(self.open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.record.write("ServerEnded", vm=self.vm.ip, server=self.name)


class VM:
    """One machine: a process of the program and an address for a backend server."""

    def __init__(self, fleet, index, ip, zone, service):
        self.fleet, self.index, self.ip, self.zone, self.service = fleet, index, ip, zone, service
        self.settings = os.path.join(fleet.folder, f"vm{index}.yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(fleet.settings_of(self))
        self.log = open(os.path.join(fleet.folder, f"vm{index}.log"), "ab")
        self.process = None

    def start(self):
        """Starts the process, unless the case is ending: nothing may be started behind its back then."""
        with self.fleet.starting:
            if not self.fleet.ending:
                self.process = subprocess.Popen(PROGRAM + [self.settings], cwd=ROOT, stdout=self.log, stderr=self.log)

    def kill_and_restart(self):
        """Ends the process by SIGKILL. The platform starts it again after a short delay."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.fleet.record.write("ProcessKilled", vm=self.ip)
        time.sleep(RESTART_DELAY)
        self.start()
        self.fleet.record.write("ProcessStarted", vm=self.ip)

    def lose(self):
        """Ends the process by SIGKILL for good, as the loss of its machine does."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.fleet.record.write("MachineLost", vm=self.ip)

    def ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, READY_PORT, timeout=1)
            connection.request("GET", "/readyz")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False


class Fleet:
    """Processes, servers and the store of one small deployment. Use it in a with statement."""

    def __init__(self, case_folder, services, bounds=None, hosts=None):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="foxtailhall-case-")
        if not os.path.exists(PROGRAM[0]):
            raise CannotRun("the program is not built")
        self.net = self.free_network()
        self.store = Store((self.ip(250), STORE_PORT))
        self.bounds = bounds or {}
        self.vms, self.servers = [], []
        self.starting, self.ending = threading.Lock(), False
        for i, service in enumerate(services):
            self.add_vm(hosts[i] if hosts else i + 1, service)

    def add_vm(self, host, service):
        zones = ["zone-a", "zone-b", "zone-c"]
        self.vms.append(VM(self, len(self.vms), self.ip(host), zones[len(self.vms) % 3], service))
        return self.vms[-1]

    def free_network(self):
        for _ in range(100):
            net = (random.randrange(20, 250), random.randrange(1, 250))
            probe = socket.socket()
            try:
                probe.bind((f"127.{net[0]}.{net[1]}.250", STORE_PORT))
                return net
            except OSError:
                continue
            finally:
                probe.close()
        raise CannotRun("no free loopback network")

    def ip(self, host):
        return f"127.{self.net[0]}.{self.net[1]}.{host}"

    def settings_of(self, vm):
        lines = {
            "CallerAddress": f'"{vm.ip}:{CALLER_PORT}"', "PeerAddress": f'"{vm.ip}:{PEER_PORT}"',
            "AdminAddress": f'"{vm.ip}:{ADMIN_PORT}"', "Zone": f'"{vm.zone}"',
            "StoreAddress": f'"{self.ip(250)}:{STORE_PORT}"', "AnnounceAddress": f'"{vm.ip}:{CONTROL_PORT}"',
            "ReadyAddress": f'"{vm.ip}:{READY_PORT}"', "ServerAddress": f'"{vm.ip}:{SERVER_PORT}"',
            "Service": f'"{vm.service}"', "FloorShare": 0.7, "RetryShare": 0.2, "RetrySlack": 60, "RetryWindow": '"10s"',
            "StopLimit": '"6s"', "MemoryLimit": 284, "DescriptorLimit": 4100,
        }
        lines.update(self.bounds)
        return "".join(f"{name}: {value}\n" for name, value in lines.items())

    def start(self):
        for vm in self.vms:
            vm.start()

    def await_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(vm.ready() for vm in self.vms if vm.process.poll() is None):
                return
            time.sleep(0.1)
        raise CannotRun("the processes are not ready")

    def server(self, vm, name, service, **options):
        server = Server(vm, name, service, **options)
        self.servers.append(server)
        return server

    def request(self, vm, method, path, host="fleet.example", deadline_ms=5000, body=None, headers=None):
        """Sends one request on a new connection of a consumer at a machine; returns id, status, body."""
        name = f"{random.getrandbits(64):016x}"
        fields = {"Host": host, REQUEST_ID: name, DEADLINE: str(deadline_ms)}
        fields.update(headers or {})
        sent = self.record.write("Sent", vm=vm.ip, request=name, method=method, path=path)
        try:
            connection = http.client.HTTPConnection(vm.ip, CALLER_PORT, timeout=deadline_ms / 1000 + 1)
            connection.request(method, path, body, fields)
            answer = connection.getresponse()
            text, status, got = answer.read(), answer.status, answer.headers
            connection.close()
        except (OSError, http.client.HTTPException) as error:
            text, status, got = repr(error).encode(), 0, {}
        self.record.write("Answered", request=name, status=status, body=text.decode(errors="replace").strip()[:60].replace(" ", "_"))
        return sent, name, status, got

    def leave(self, vm, method, path, after, host="fleet.example", deadline_ms=5000, body=b"", headers=None):
        """Sends one request as a consumer that closes its connection after some time."""
        name = f"{random.getrandbits(64):016x}"
        connection = http.client.HTTPConnection(vm.ip, CALLER_PORT, timeout=deadline_ms / 1000 + 1)
        fields = {"Host": host, REQUEST_ID: name, DEADLINE: str(deadline_ms)}
        fields.update(headers or {})
        self.record.write("Sent", vm=vm.ip, request=name, method=method, path=path)
        connection.request(method, path, body, fields)
        time.sleep(after)
        connection.close()
        self.record.write("ConsumerLeft", request=name)
        return name

    def __enter__(self):
        return self

    def __exit__(self, *_):
        with self.starting:
            self.ending = True
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()
        for server in self.servers:
            try:
                server.end()
            except OSError:
                pass
        self.record.write("Ended")
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout="5000ms", target="1500ms", attempts=2, **more):
    spec = {
        "host": "fleet.example", "pathPrefix": prefix, "type": kind, "timeout": timeout, "targetLatency": target,
        "priority": 1, "service": service, "maxAttempts": attempts, "public": False,
    }
    spec.update(more)
    return {"entryType": "routes", "metadata": {"name": name}, "spec": spec}


def configuration(version, services, routes, tenants=()):
    resources = list(routes)
    resources += [{"entryType": "services", "metadata": {"name": name}, "spec": {"healthPath": "/healthz"}} for name in services]
    resources.append({"entryType": "limits", "metadata": {"name": "limits"}, "spec": {
        "maxHeaderBytes": 16384, "maxBodyBytes": 16777216, "headerTimeout": "5s", "idleTimeout": "15s",
    }})
    resources += list(tenants)
    return {"version": f"{version:08x}", "resources": resources}


def end_by_signal(*_):
    raise CannotRun("ended by SIGTERM")


def main(play):
    """Runs a case and ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, end_by_signal)
    try:
        broken = play(trouble)
    except CannotRun as error:
        print("could not run:", error, flush=True)
        os._exit(2)
    except BaseException:
        traceback.print_exc()
        sys.stderr.flush()
        os._exit(2)
    print("the rule was broken:" if broken else "the rule held", broken or "")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
