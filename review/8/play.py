"""A machine freezes while it waits for downloads; another one exceeds its memory."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lab2"))

import load  # noqa: E402
import stage as lab  # noqa: E402

DOWNLOAD_BYTES = 4_000_000
DOWNLOAD_LIMIT_MS = 20_000
DOWNLOAD_WORK_S = 4.0
DOWNLOAD_INTERVAL_S = 0.04
DOWNLOADS_S = 16.0
FREEZE_AT_S = 7.0  # after the first download
FREEZE_S = 4.0
PAY_CLIENT_COUNT = 20  # at each machine but the frozen one
PLAY_S = 30.0


async def play(stage, trouble):
    for zone, service in (("z1", "pay"), ("z2", "pay"), ("z3", "file")):
        machine = stage.add_machine(zone, service)
        content = os.urandom(DOWNLOAD_BYTES) if service == "file" else b"done"
        work_s = DOWNLOAD_WORK_S if service == "file" else 0.3
        machine.endpoint = lab.Endpoint(machine, 180, work_s, lambda _, c=content: c)
    rules = [
        lab.build_rule("pay", "unsafe", "pay", "3000ms"),
        lab.build_rule("file", "download", "file", "20s"),
    ]
    await stage.start(lab.build_config(rules, ["pay", "file"]))
    frozen = stage.machines[0]
    platform = load.Platform(stage)
    watch = asyncio.ensure_future(platform.run())
    ends_at = time.monotonic() + PLAY_S
    clients = [load.PayClient(machine, number) for machine in stage.machines[1:]
               for number in range(PAY_CLIENT_COUNT)]
    pays = [asyncio.ensure_future(client.run(ends_at)) for client in clients]
    await asyncio.sleep(lab.STABLE_WINDOW_S + 1.0)
    stage.record.write("the downloads begin")
    if trouble:
        loop = asyncio.get_running_loop()
        loop.call_later(FREEZE_AT_S, frozen.signal_node, signal.SIGSTOP)
        loop.call_later(FREEZE_AT_S + FREEZE_S, frozen.signal_node, signal.SIGCONT)
    results = []
    downloads = []
    for number in range(int(DOWNLOADS_S / DOWNLOAD_INTERVAL_S)):
        downloads.append(asyncio.ensure_future(load.download(
            frozen, number, DOWNLOAD_BYTES, DOWNLOAD_LIMIT_MS, results
        )))
        await asyncio.sleep(DOWNLOAD_INTERVAL_S)
    await asyncio.gather(*pays)
    for task in downloads:
        task.cancel()
    await asyncio.gather(*downloads, return_exceptions=True)
    watch.cancel()
    lost = load.find_lost(stage, platform, clients, results)
    calm = stage.machines[2]
    lost_at_calm = [each for each in lost if each.startswith(f"p{calm.ip[-2:]}-")]
    stage.record.say(f"of these at {calm.name}, which was not disturbed: "
                     f"{len(lost_at_calm)}")
    return len(lost_at_calm) > 3


lab.run_script(FOLDER, play)
