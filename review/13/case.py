"""After one odd ping of another writer, a server's leaving is acknowledged and ignored."""
import http.client
import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
import fleet as f

DRAIN = 2.0
SERVICES = ["billing", "billing", "billing", "sheets", "sheets", "sheets"]


def odd_ping(fleet, vm):
    """Sends a ping of another writer, which names a service that no configuration names."""
    body = {
        "address": f"{vm.ip}:{f.SERVER_PORT}", "born": int(time.time() * 1000),
        "info": {"service": "of-another-writer", "version": "v1", "zone": vm.zone, "maxConcurrency": 4},
        "status": {"state": "draining", "seq": 1, "warmupLeft": "0ms"},
    }
    connection = http.client.HTTPConnection(vm.ip, f.CONTROL_PORT, timeout=1)
    connection.request("PUT", "/instances/i-other-writer", json.dumps(body).encode())
    status = connection.getresponse().status
    connection.close()
    fleet.record.write("OddPing", vm=vm.ip, status=status)


def play(trouble):
    with f.Fleet(HERE, SERVICES) as fleet:
        fleet.store.publish(f.configuration(7, ["billing", "sheets"], [
            f.route("bill", "/bill/", "non_idempotent", "billing"), f.route("sheet", "/sheet/", "idempotent", "sheets"),
        ]))
        fleet.start()
        for i, vm in enumerate(fleet.vms):
            fleet.server(vm, f"i-{i}", SERVICES[i], work=0.3 if SERVICES[i] == "billing" else 0.05)
        leaving = fleet.servers[0]
        fleet.await_ready()
        time.sleep(8)

        stop, sent = threading.Event(), {}

        def consume(vm):
            while not stop.is_set():
                at, request, status, _ = fleet.request(vm, "POST", "/bill/entry", body=b"one entry")
                sent[request] = (at, vm, status)
                time.sleep(0.03)

        consumers = [threading.Thread(target=consume, args=(vm,), daemon=True) for vm in fleet.vms[1:] for _ in range(2)]
        for consumer in consumers:
            consumer.start()
        time.sleep(3)
        if trouble:
            odd_ping(fleet, fleet.vms[0])
        time.sleep(8)
        if not leaving.runs:
            raise f.CannotRun("the server got no request")
        # Planned end of the server: it reports draining and goes on serving.
        acked = leaving.drain()
        fleet.record.write("LeaveAcknowledged", server=leaving.name)
        time.sleep(9)
        leaving.end()
        time.sleep(1.5)
        stop.set()
        for consumer in consumers:
            consumer.join(7)
        late = [(at, r) for at, r in leaving.runs if r in sent and sent[r][0] > acked + DRAIN]
        before = [r for at, r in leaving.runs if at < acked]
        print(f"runs of the leaving server: {len(before)} before the acknowledgement at {acked:.2f} s,"
              f" {len(late)} of requests sent later than drain after it")
        for at, request in late[:3] + late[-1:]:
            print(f"  sent at {sent[request][0]:.3f}, ran at {at:.3f}: {request}")
        served = sum(1 for _, _, status in sent.values() if status == 200)
        lost = sum(1 for _, request in late if sent[request][2] != 200)
        print(f"requests: {len(sent)}, answered 200: {served}; lost when the leaving server ended: {lost}")
        return f"{len(late)} requests reached a server later than drain after its leaving was acknowledged" if late else ""


f.main(play)
