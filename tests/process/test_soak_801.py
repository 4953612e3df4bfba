"""Seed 801 of the soak, apart from the other seeds so that KNOWN-RED.txt can list it alone.

It once showed that completed tasks ran again: workers that kept their ids took acknowledgements for the former incarnation.
"""

from test_soak import play

play(seed=801, cores=3, seconds=25, mode=[])
print("test_soak_801 passed.")
