"""A machine that joins after others were lost finds no other machine and grants a tenant's whole limit again."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
import fleet as f

WINDOW, SHARE, SLACK = 5.0, 0.1, 20
RATE, BURST = 40.0, 40.0
ALLOWED = (RATE * WINDOW + BURST) * (1 + SHARE) + SLACK
# The addresses end in these numbers. The last three machines are lost.
HOSTS = [1, 2, 3, 4, 5, 7, 8, 9]
JOINING = 6


def play(trouble):
    bounds = {"QuotaWindow": '"5s"', "QuotaTolerance": SHARE, "QuotaSlack": SLACK}
    with f.Fleet(HERE, ["orders"] * len(HOSTS), bounds, HOSTS) as fleet:
        tenant = {"entryType": "tenants", "metadata": {"name": "court"}, "spec": {
            "apiKeys": ["key-of-court"], "priority": 1, "ratePerS": RATE, "burst": BURST,
        }}
        fleet.store.publish(f.configuration(
            7, ["orders"], [f.route("order", "/order/", "non_idempotent", "orders")], [tenant]))
        fleet.start()
        for i, vm in enumerate(fleet.vms):
            fleet.server(vm, f"i-{i}", "orders", slots=8)
        fleet.await_ready()
        time.sleep(8)
        if trouble:
            for vm, server in list(zip(fleet.vms, fleet.servers))[-3:]:
                vm.lose()
                server.end()
        time.sleep(10)
        # A machine is added at a new address.
        joined = fleet.add_vm(JOINING, "orders")
        joined.start()
        fleet.server(joined, "i-joined", "orders", slots=8)
        fleet.await_ready()
        time.sleep(10)

        stop, sent, lock = threading.Event(), {}, threading.Lock()

        def consume(vm):
            while not stop.is_set():
                at, request, status, headers = fleet.request(
                    vm, "POST", "/order/1", body=b"one order", headers={"Authorization": "Bearer key-of-court"})
                with lock:
                    sent[request] = (at, vm, status)
                time.sleep(0.2 if status == 429 else 0.02)

        alive = [vm for vm in fleet.vms if vm.process.poll() is None]
        crowd = [threading.Thread(target=consume, args=(vm,), daemon=True) for vm in alive for _ in range(6)]
        for one in crowd:
            one.start()
        time.sleep(12)
        stop.set()
        for one in crowd:
            one.join(7)

        runs = sorted((at, request) for server in fleet.servers for at, request in server.runs if request in sent)
        most, when = 0, 0.0
        for start, _ in runs:
            inside = sum(1 for at, request in runs if start <= sent[request][0] and start <= at < start + WINDOW)
            if inside > most:
                most, when = inside, start
        at_joined = sum(1 for _, request in runs if sent[request][1] is joined)
        print(f"limit {RATE:.0f} a second and {BURST:.0f}; allowed in {WINDOW:.0f} s: {ALLOWED:.0f};"
              f" most that ran: {most}, from {when:.1f} s on")
        print(f"runs: {len(runs)}, of requests at the machine that joined: {at_joined}")
        return f"{most} requests of one tenant in {WINDOW:.0f} s" if most > ALLOWED else ""


f.main(play)
