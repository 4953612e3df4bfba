"""A short run of tests/soak with seeds that are kept: each that ever failed, with a line on its cause, and two more.

Seeds by hand, fifty or more: python3 tests/soak/soak.py BUILD --seed N --seconds 30 --cores 5
"""

import os
import subprocess
import sys

SOAK = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak", "soak.py")
# Seed, replicas, seconds, mode, and what it once broke.
SEEDS = [(11, 3, 10, [], "nothing: a run with three replicas"),
         (12, 5, 10, [], "nothing: a run with five"),
         (13, 3, 15, ["--poison"], "nothing: tasks that crash their workers"),
         (22, 3, 2, ["--gone"], "work stood still for good: a new leader kept a worker that it had never reached"),
         (801, 3, 25, [], "tasks began again after they were done: workers that kept their ids took confirmations for the life before"),
         (2, 3, 40, ["--calm"], "an older configuration was read: a cut leader counted promises that nobody gave")]


def main():
    for seed, cores, seconds, mode, _cause in SEEDS:
        command = [sys.executable, SOAK, sys.argv[1], "--seed", str(seed), "--cores", str(cores), "--seconds", str(seconds)] + mode
        done = subprocess.run(command, capture_output=True, text=True, timeout=280)
        print(done.stdout, done.stderr)
        assert done.returncode == 0, "seed %d" % seed
    print("test_soak passed.")


if __name__ == "__main__":
    main()
