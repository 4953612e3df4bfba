"""The records of the fakes distinguish one task in two places from equally numbered tasks of two halls, and match each end to
the start on the same host."""

import os
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "fakes"))
from records import Records  # noqa: E402

ONE_CORE = (1000, 1024, 0)


def records_of(folder, name, events):
    records = Records(os.path.join(folder, name))
    for host in (1, 2):
        records.add("worker", host=host, size=ONE_CORE)
    for kind, run, host, hall, service in events:
        records.add(kind, run=run, host=host, hall=hall, service=service, configuration="x", size=ONE_CORE)
    return records


def equal_task_numbers_of_two_halls_are_different_tasks(folder):
    apart = [("start", "1/0/1", 1, "a", True), ("start", "1/0/1", 2, "b", True), ("end", "1/0/1", 1, "a", True),
             ("start", "1/0/2", 1, "a", True)]
    records = records_of(folder, "apart", apart)
    assert not records.overlaps(), records.overlaps()
    assert not records.over_size(), records.over_size()


def one_task_in_two_places_is_detected(folder):
    service = [("start", "1/0/1", 1, "a", True), ("start", "1/0/2", 2, "a", True)]
    assert records_of(folder, "service", service).overlaps() == [("1/0/1", "1/0/2")]
    same_run = [("start", "1/0/1", 1, "a", False), ("start", "1/0/1", 2, "b", False)]
    assert records_of(folder, "same-run", same_run).overlaps() == [("1/0/1", "1/0/1")]
    ended_elsewhere = [("start", "1/0/1", 1, "a", True), ("end", "1/0/1", 2, "b", True), ("start", "1/0/2", 2, "a", True)]
    assert records_of(folder, "elsewhere", ended_elsewhere).overlaps() == [("1/0/1", "1/0/2")]


def only_ends_on_the_same_host_release_capacity(folder):
    events = [("start", "1/0/1", 1, "a", True), ("start", "1/0/1", 2, "b", True), ("end", "1/0/1", 2, "b", True),
              ("start", "2/0/1", 1, "a", False)]
    assert records_of(folder, "size", events).over_size() == {1}


with tempfile.TemporaryDirectory() as kept:
    for test in (equal_task_numbers_of_two_halls_are_different_tasks, one_task_in_two_places_is_detected,
                 only_ends_on_the_same_host_release_capacity):
        test(kept)
        print("%s passed." % test.__name__)
