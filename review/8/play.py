"""An endpoint leaves while the store is silent; then all nodes are killed at once."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lab2"))

import signal  # noqa: E402

import stage as lab  # noqa: E402

STORE_SILENT_S = 3.0
DOWN_S = 1.0  # time until the platform starts the killed processes again
PING_DELAY_S = 6.5  # a ping of before the departure arrives late
SERVES_ON_S = 12.0  # beyond ``drain`` after the acknowledgement
CLIENT_COUNT = 3  # at each machine
PAY_LIMIT_MS = 3_000


class Client:
    """Sends unsafe requests, one after another, each on a new connection."""

    def __init__(self, machine, number):
        self.machine = machine
        self.name = f"p{machine.ip.rpartition('.')[2]}-{number}"
        self.sent_at = {}
        self.answers = {}

    async def run(self):
        count = 0
        while True:
            count += 1
            request_id = f"{self.name}-{count}"
            self.sent_at[request_id] = time.monotonic()
            headers = (f"Request-Id: {request_id}", f"Deadline-Ms: {PAY_LIMIT_MS}")
            self.answers[request_id] = await lab.call(
                self.machine.ip, self.machine.ports["outbound"], "POST",
                f"/pay/{count}", b"", headers, PAY_LIMIT_MS / 1000,
            )
            await asyncio.sleep(0.1)


async def play(stage, trouble):
    record = stage.record
    for zone in ("z1", "z2", "z3"):
        machine = stage.add_machine(zone, "pay")
        machine.endpoint = lab.Endpoint(machine, 20, 0.2, lambda _: b"done")
    await stage.start(
        lab.build_config([lab.build_rule("pay", "unsafe", "pay", "3000ms")], ["pay"])
    )
    clients = [Client(machine, number) for machine in stage.machines
               for number in range(CLIENT_COUNT)]
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    await asyncio.sleep(lab.STABLE_WINDOW_S + 1.0)
    leaver = stage.machines[1].endpoint
    if trouble:
        stage.store.set_silent(True)
        record.write("the store is silent")
        asyncio.get_running_loop().call_later(
            STORE_SILENT_S, stage.store.set_silent, False
        )
    await asyncio.sleep(0.3)
    late_ping = leaver.build_ping()
    ping_sent_at = time.monotonic()
    leaver.stop_pings()
    await asyncio.sleep(0.2)
    leaver.is_leaving = True
    status = await leaver.tell("DELETE", b'{"born":%d}' % leaver.born)
    acked_at = time.monotonic()
    record.say(f"departure of {leaver.instance} is answered with {status}")
    if status != 200:
        return False
    if trouble:
        for machine in stage.machines:
            machine.signal_node(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for machine in stage.machines:
            machine.process.wait()
            machine.start_node()
    await asyncio.sleep(ping_sent_at + PING_DELAY_S - time.monotonic())
    record.write(f"the late ping of {leaver.instance} arrives")
    await leaver.tell("PUT", late_ping)
    await asyncio.sleep(acked_at + lab.DRAIN_S + SERVES_ON_S - time.monotonic())
    record.write(f"endpoint {leaver.instance} exits")
    await leaver.exit()
    await asyncio.sleep(2.0)
    for task in tasks:
        task.cancel()
    return judge(stage, clients, leaver, acked_at)


def judge(stage, clients, leaver, acked_at):
    """DRAIN: reached later than ``drain`` after the acknowledgement, nodes in touch."""
    record = stage.record
    in_touch_at = lab.STABLE_WINDOW_S + max(
        stage.store.changed_at, *(machine.started_at for machine in stage.machines)
    )
    late = []
    for client in clients:
        for request_id, sent_at in client.sent_at.items():
            run = leaver.runs.get(request_id)
            answer = client.answers.get(request_id)
            at_leaver = f"{run.began_at - acked_at:+.3f}" if run else "no"
            record.write(f"{request_id} sent {sent_at - acked_at:+.3f} s after the ack, "
                         f"answer {answer}, at the leaver: {at_leaver}")
            if run and sent_at > max(acked_at + lab.DRAIN_S, in_touch_at):
                late.append(request_id)
    answers = [each for client in clients for each in client.answers.values()]
    record.say(f"answers: { {each: answers.count(each) for each in set(answers)} }")
    record.say(f"in touch again {in_touch_at - acked_at:.3f} s after the ack; later "
               f"requests that ran at {leaver.instance}: {len(late)} {late[:5]}")
    return bool(late)


lab.run_script(FOLDER, play)
