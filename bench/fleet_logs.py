#!/usr/bin/env python3
"""Aggregates the debug logs of many relays by second, or by host and second.

    bench/fleet_logs.py DIR            a row per second: endpoint lists, watches, attempts, probes, rejections, cuts
    bench/fleet_logs.py DIR --hosts    for each host and second: reported load and count, attempts, probes

DIR holds one `*.log` per relay, written with STOATRUN_LOG=debug. Seconds count from the first record of all.
"""

import argparse
import collections
import pathlib
import re
import sys

# The kind of a record: the first pattern that its words match.
KINDS = [
    ("list", re.compile(r"^info endpoint update .*complete ")),
    ("changes", re.compile(r"^info endpoint update .*changes ")),
    ("watch failed", re.compile(r"^info watch failed")),
    ("attempt", re.compile(r"^debug attempt number=")),
    ("ended", re.compile(r"^debug attempt ended")),
    ("probe", re.compile(r"^debug probe .* ok ")),
    ("probe failed", re.compile(r"^debug probe ")),
    ("reject", re.compile(r"^debug reject ")),
    ("conn. lost", re.compile(r"^debug connection lost ")),
    ("silent", re.compile(r"^info endpoint silent")),
]
HOST = re.compile(r"endpoint=(\S+)")
REPORT = re.compile(r"report=(?:outstanding|inflight)=([\d.]+),.*x0=([\d.]+)")


def records(folder):
    """(milliseconds since the first record of all, words), in order of time."""
    found = []
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            parts = line.split(" ", 2)
            if len(parts) == 3 and parts[1].isdigit():
                found.append((int(parts[1]), parts[2]))
    found.sort(key=lambda record: record[0])
    return [(at - found[0][0], words) for at, words in found]


def kind_of(words):
    """The name of the record's kind, or None."""
    return next((name for name, pattern in KINDS if pattern.search(words)), None)


def by_second(all_records):
    """Prints how many records of each kind all relays wrote in each second."""
    names = [name for name, _ in KINDS]
    table = collections.defaultdict(collections.Counter)
    for at, words in all_records:
        table[at // 1000][kind_of(words)] += 1
    print("  s " + " ".join(f"{name:>12}" for name in names))
    for second in range(max(table) + 1):
        print(f"{second:3} " + " ".join(f"{table[second][name]:12}" for name in names))
    print("all " + " ".join(f"{sum(row[name] for row in table.values()):12}" for name in names))


def by_host(all_records):
    """Prints for each host the reported load and the records of each kind by second."""
    reports = collections.defaultdict(lambda: collections.defaultdict(list))
    counts = collections.defaultdict(lambda: collections.defaultdict(collections.Counter))
    first_seen = {}
    for at, words in all_records:
        host, kind = HOST.search(words), kind_of(words)
        if not host or not kind:
            continue
        first_seen.setdefault(host[1], at)
        counts[host[1]][kind][at // 1000] += 1
        if report := REPORT.search(words):
            reports[host[1]][at // 1000].append((float(report[2]), float(report[1])))
    seconds = range(all_records[-1][0] // 1000 + 1)
    for host in sorted(first_seen, key=first_seen.get):
        print(host)
        for row, index in (("load", 0), ("count", 1)):
            cells = [[report[index] for report in reports[host][second]] for second in seconds]
            means = [f"{sum(cell) / len(cell):5.2f}" if cell else "    ." for cell in cells]
            print(f"  {row:12}" + " ".join(means))
        for kind, per_second in counts[host].items():
            numbers = [f"{per_second[second]:5}" if per_second[second] else "    ." for second in seconds]
            print(f"  {kind:12}" + " ".join(numbers))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder")
    parser.add_argument("--hosts", action="store_true", help="a block for each host instead of a row per second")
    options = parser.parse_args()
    all_records = records(options.folder)
    if not all_records:
        sys.exit(f"{options.folder}: no records of a relay in *.log")
    (by_host if options.hosts else by_second)(all_records)


if __name__ == "__main__":
    main()
