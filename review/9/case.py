"""A config makes a tenant isolated.  Its prompt parts, which runners keep
from before, must not be used for another tenant any more."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from fleet2 import (BOUNDS, LIMITS, TROUBLE, CannotRun, Runner, asyncio,
                    attempt_id, call, head, engine_service, main, route)

HOST = "jepu9.example"
KEYS = {"sese880": "wu3fexd9dnn2ctnfzs98", "mobi417": "9anu6wsjnbanfqasnmgk"}
SHARED = "5c1e07a2:800"     # the part of the prompt that both tenants send


class Model(Runner):
    """Keeps prompt parts under the salt that it is told, as PROTOCOL.md says:
    a part is found if all parts before it are kept under the same text."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.kept = {}      # (salt, model, parts): (tenant that made it, when)
        self.uses = []      # (when, attempt, tenant, part, made by, made when)

    def order(self, order):
        before = self.version
        answer = super().order(order)
        if self.version != before:
            self.kept.clear()
        return answer

    async def run(self, request, attempt, writer):
        now = time.monotonic()
        tenant = request.header("X-Bluebellmoor-Tenant")
        salt = request.header("X-Bluebellmoor-Cache-Salt") or ""
        entries = request.header("X-Bluebellmoor-Prefix-Hash").split(",")
        chain = (salt, request.header("X-Bluebellmoor-Model"))
        found = True
        for entry in entries:
            chain += (entry.split(":")[0],)
            found = found and chain in self.kept
            if found:
                self.uses.append((now, attempt, tenant, chain[-1],
                                  *self.kept[chain]))
                self.fleet.record("runner", self.id, "request", attempt, "of",
                                  tenant, "uses part", chain[-1], "made by",
                                  self.kept[chain][0], "salt", salt)
            else:
                self.kept[chain] = (tenant, now)
                self.fleet.record("runner", self.id, "request", attempt, "of",
                                  tenant, "makes part", chain[-1], "salt",
                                  salt)
        writer.write(head(200, self.answer_headers(attempt)
                          + [("Content-Type", "text/event-stream")],
                          chunked=True))
        for number in range(1, 4):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")


def config(version, isolated):
    tenants = [{"name": name, "api-keys": [key], "priority": 1,
                "unit": "tokens", "uncached-tokens": 200,
                "isolated": isolated and name == "sese880",
                "rate-per-s": 211813, "burst": 211813}
               for name, key in KEYS.items()]
    return {"version": version, "limits": LIMITS, "tenants": tenants,
            "services": [engine_service("huvo11a", "daka510000")],
            "routes": [route("r-stream", HOST, "/lepu270/", "huvo11a",
                             "stream")]}


def ask(fleet, tenant, index, number):
    attempt = attempt_id()
    answer = call(
        fleet.ips[index], fleet.front_port, "POST", "/lepu270/2f",
        [("X-Bluebellmoor-Attempt-Id", attempt),
         ("Authorization", "Bearer " + KEYS[tenant]),
         ("X-Bluebellmoor-Model", "daka510000"),
         ("X-Bluebellmoor-Token-Count", "900,3"),
         ("X-Bluebellmoor-Prefix-Hash", "%s,%08x:100" % (SHARED, number)),
         ("X-Bluebellmoor-Deadline-Ms", "5000")], b"hello", host=HOST)
    fleet.record("request", attempt, "of", tenant, "at machine", index,
                 "status", answer.status)
    return answer.status == 200


def case(fleet):
    models = [fleet.add_runner(Model, "huvo11a", model="daka510000")
              for _ in range(2)]
    fleet.start()
    fleet.put_until_acked(config(7, isolated=not TROUBLE))
    fleet.wait_ready()
    time.sleep(3)
    served = [ask(fleet, "sese880", i % 3, i) for i in range(9)]
    if TROUBLE:
        fleet.put_until_acked(config(9, isolated=True))
        fleet.record("acknowledged: version 9, sese880 is isolated")
    since = time.monotonic() + BOUNDS["config-apply-ms"] / 1000
    time.sleep(BOUNDS["contact-ms"] / 1000 + 1)
    served += [ask(fleet, "mobi417", i % 3, 100 + i) for i in range(9)]
    served += [ask(fleet, "sese880", i % 3, 200 + i) for i in range(9)]
    if sum(served) < len(served) / 2:
        raise CannotRun("requests weren't served")
    return ["WALL: request %s of %s used part %s that a request of %s made"
            % (attempt, tenant, part, maker)
            for runner in models
            for when, attempt, tenant, part, maker, _ in runner.uses
            if when > since and tenant != maker]


main(os.path.join(FOLDER, "record.txt"), case)
