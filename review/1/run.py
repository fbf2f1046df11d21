"""Consumers post billing entries to /billing/close, on the route /billing/. A new version adds an
idempotent route /billing/close/ to another service. No prefix but /billing/ begins the path of the
entries, so they still belong to billing and may run only once."""

import collections
import os
import random
import sys
import threading
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "standin"))

import fleet
import wire

BILLING, RECORDS = "afrekening", "dossier"
HOST, PATH = "billing.example", "/billing/close"
# Work as on the sheet: 320 ms with a spread of 0.3, and one in a hundred takes five times as long.
WORK_S, SPREAD, TAIL, TAIL_X = 0.32, 0.3, 0.01, 5
SLOTS, CALLERS = 4, 8
TRAFFIC_S, CHANGE_AT_S = 18.0, 3.0


def configuration(version):
    """Returns a version; from 8 on it has the added route."""
    routes = {"billing": fleet.route(HOST, "/billing/", "non_idempotent", BILLING, 5000, 1500)}
    if version >= 8:
        routes["closings"] = fleet.route(HOST, "/billing/close/", "idempotent", RECORDS, 4000, 1500)
    return fleet.configuration(version, routes, [BILLING, RECORDS])


class Servers:
    """Runs each request and notes the service that ran it."""

    def __init__(self, record):
        self.record = record
        self.runs = []

    def work(self, server, run):
        seen = {"service": server.service, "server": server.id, "request": run.id, "method": run.method, "path": run.target}
        self.record.write("run", **seen)
        self.runs.append(seen)
        time.sleep(WORK_S * random.lognormvariate(0, SPREAD) * (TAIL_X if random.random() < TAIL else 1))
        run.answer(200, ("done by " + server.service).encode())
        return True


def call(record, node, statuses):
    request = fleet.new_id()
    record.write("sent", node=node.name, request=request, path=PATH)
    seen = {"request": request, "status": 0}
    try:
        connection = wire.connect(node.outbound, 2)
        connection.sock.settimeout(6)
        try:
            connection.send(wire.head("POST %s HTTP/1.1" % PATH, [
                ("Host", HOST), (fleet.REQUEST_ID, request), (fleet.DEADLINE, 5000), ("Content-Length", 5)]) + b"entry")
            answer = wire.read_answer(connection)
            seen.update(status=answer.status, body=answer.body.decode("latin-1"))
        finally:
            connection.close()
    except (OSError, wire.BrokenOff, wire.Malformed) as reason:
        seen.update(error=repr(reason))
    record.write("answered", **seen)
    statuses.append(seen["status"])


def play(record):
    servers, statuses = Servers(record), []
    with fleet.Fleet(record) as deployment:
        for service, zone in ((BILLING, "depot-gouda"), (BILLING, "depot-delft"), (RECORDS, "depot-gouda"),
                              (RECORDS, "depot-delft")):
            deployment.add(service, zone, servers.work, SLOTS)
        deployment.start(configuration(7))
        end = time.monotonic() + TRAFFIC_S

        def caller(index):
            while time.monotonic() < end:
                call(record, deployment.nodes[index % 4], statuses)
                time.sleep(0.05)

        threads = [threading.Thread(target=caller, args=(index,), daemon=True) for index in range(CALLERS)]
        for thread in threads:
            thread.start()
        time.sleep(CHANGE_AT_S)
        if fleet.trouble():
            deployment.store.publish(configuration(8))
            record.write("version 8 is acknowledged")
        for thread in threads:
            thread.join()
    print("%d entries, %d answered 200, %d runs" % (len(statuses), statuses.count(200), len(servers.runs)))
    if statuses.count(200) < len(statuses) / 2:
        raise fleet.CouldNotRun("hardly any entry was served")
    # ROUTE: run by a service to which no configuration allows it to go. TWICE follows from it here
    # and is only told.
    counts = collections.Counter(run["request"] for run in servers.runs)
    print("%d entries ran more than once" % sum(1 for runs in counts.values() if runs > 1))
    return [dict(run, rule="ROUTE", runs=counts[run["request"]]) for run in servers.runs if run["service"] != BILLING]


if __name__ == "__main__":
    fleet.main(CASE, play)
