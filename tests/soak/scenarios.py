"""The command line of soaks that play one named scenario."""
import argparse
import asyncio
import shutil
import sys
import tempfile
from pathlib import Path


def run_scenario(run_class, scenarios, description, *, prefix, seconds, network, engine_port):
    """Plays the scenario of the command line and ends the program: exit code 1 and kept logs if a check failed.

    `run_class` is made of the options and a folder, and has `run()`, `fleet` and `check`; the other values are defaults.
    """
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--scenario", choices=list(scenarios), required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=seconds)
    parser.add_argument("--network", default=network, help="first three numbers of the fleet's loopback addresses")
    parser.add_argument("--engine-port", type=int, default=engine_port, help="first port of the engines at 127.0.0.1")
    parser.add_argument("--keep", help="folder for settings, data and logs, kept")
    options = parser.parse_args()
    folder = Path(options.keep or tempfile.mkdtemp(prefix=prefix))
    folder.mkdir(parents=True, exist_ok=True)
    run = run_class(options, folder)
    try:
        asyncio.run(run.run())
    finally:
        run.fleet.kill_all()
    if run.check.failed == 0 and options.keep is None:
        shutil.rmtree(folder, ignore_errors=True)
    print(f"{options.scenario}: seed={options.seed} broken={run.check.failed} logs={folder}")
    sys.exit(1 if run.check.failed else 0)
