#!/usr/bin/env python3
"""Runs hatchfork-load hollow against five real control replicas and samples what the replicas cost.

usage: tools/hollow_fleet.py GATEWAYS ENGINES [--tenants N] [--batch-groups N] [--steady-seconds N] [--output FILE]

Writes one JSON object: the tool's report, with "replicas" (processor share, memory, bytes on disk of each control
replica in the steady phase) and the time of the leader's loss. Run it from the top of the repository after a build.
"""
import argparse
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

REPLICAS = 5
FRAME_PORT = 8100
ADMIN_PORT = 8200


def write_settings(folder, number, batch_groups):
    """Writes the settings of one control replica and returns the file."""
    replicas = "\n".join(f'control-{i} = "127.0.0.1:{FRAME_PORT + i}"' for i in range(1, REPLICAS + 1))
    admin = "\n".join(f'control-{i} = "127.0.0.1:{ADMIN_PORT + i}"' for i in range(1, REPLICAS + 1))
    file = folder / f"control-{number}.toml"
    file.write_text(f'name = "control-{number}"\nzone = "zone-{number}"\ndata_folder = "{folder}/data-{number}"\n'
                    f'admin = "127.0.0.1:{ADMIN_PORT + number}"\nbatch_groups = {batch_groups}\n'
                    f"[replicas]\n{replicas}\n[admin_endpoints]\n{admin}\n")
    return file


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_megabytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0


def folder_bytes(folder):
    return sum(file.stat().st_size for file in folder.rglob("*") if file.is_file())


def leader_of_configuration(numbers):
    for number in numbers:
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{ADMIN_PORT + number}/v1/status", timeout=2) as answer:
                groups = json.load(answer)["groups"]
        except OSError:
            continue
        for group in groups:
            if group["group"] == 0 and group.get("leader"):
                return int(group["leader"].rsplit("-", 1)[1])
    return None


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("gateways", type=int)
    parser.add_argument("engines", type=int)
    parser.add_argument("--tenants", type=int, default=300)
    parser.add_argument("--batch-groups", type=int, default=2)
    parser.add_argument("--steady-seconds", type=int, default=10)
    parser.add_argument("--output")
    arguments = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="hatchfork-hollow-"))
    processes = {}
    report = None
    try:
        for number in range(1, REPLICAS + 1):
            settings = write_settings(folder, number, arguments.batch_groups)
            log = open(folder / f"control-{number}.log", "w")
            processes[number] = subprocess.Popen(["build/bin/hatchfork", "control", "--settings", settings], stderr=log)
        time.sleep(2)
        replicas = ",".join(f"control-{i}=127.0.0.1:{FRAME_PORT + i}" for i in range(1, REPLICAS + 1))
        admin = ",".join(f"127.0.0.1:{ADMIN_PORT + i}" for i in range(1, REPLICAS + 1))
        hollow = subprocess.Popen(
            ["build/bin/hatchfork-load", "hollow", "--replicas", replicas, "--admin", admin, "--gateways",
             str(arguments.gateways), "--engines", str(arguments.engines), "--tenants", str(arguments.tenants),
             "--batch-groups", str(arguments.batch_groups), "--steady-seconds", str(arguments.steady_seconds)],
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        before = {}
        costs = {}
        for line in hollow.stderr:
            if "name=steady\n" in line:
                started = time.monotonic()
                before = {number: processor_seconds(process.pid) for number, process in processes.items()}
            elif "name=steady_end" in line:
                seconds = time.monotonic() - started
                leader = leader_of_configuration(processes)
                for number, process in processes.items():
                    costs[f"control-{number}"] = {
                        "processor_share": (processor_seconds(process.pid) - before[number]) / seconds,
                        "resident_megabytes": resident_megabytes(process.pid),
                        "disk_bytes": folder_bytes(folder / f"data-{number}"),
                        "leads_configuration": number == leader,
                    }
            elif "name=loss" in line:
                leader = leader_of_configuration(processes)
                processes[leader].send_signal(signal.SIGKILL)
                processes.pop(leader).wait()
        output = hollow.stdout.read()
        hollow.wait()
        report = json.loads(output) if output.strip() else {"ok": False}
        report["replicas"] = costs
    finally:
        for process in processes.values():
            process.terminate()
        for process in processes.values():
            process.wait()
        shutil.rmtree(folder, ignore_errors=True)
    text = json.dumps(report, indent=1, sort_keys=True)
    if arguments.output:
        pathlib.Path(arguments.output).write_text(text + "\n")
    print(text)
    return 0 if report.get("ok") else 1


if __name__ == "__main__":
    sys.exit(main())
