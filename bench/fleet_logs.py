#!/usr/bin/env python3
"""Adds up the debug logs of many relays: one relay's log tells little of what all do together.

    bench/fleet_logs.py DIR            a row a second: lists, watches, legs, probes, declines, cuts, moves
    bench/fleet_logs.py DIR --hosts    for each issuer host and second: reported load and count, legs, probes

DIR holds one `*.log` a relay, written with STOATRUN_LOG=debug. Seconds count from the first record of all.
"""

import argparse
import collections
import pathlib
import re
import sys

# What a record is counted as: the first pattern that fits its words.
KINDS = [
    ("list", re.compile(r"^info list .*complete ")),
    ("changes", re.compile(r"^info list .*changes ")),
    ("watch failed", re.compile(r"^info watch failed")),
    ("leg", re.compile(r"^debug leg number=")),
    ("leg ended", re.compile(r"^debug leg ended")),
    ("probe", re.compile(r"^debug probe .* ok ")),
    ("probe failed", re.compile(r"^debug probe ")),
    ("decline", re.compile(r"^debug decline ")),
    ("cut", re.compile(r"^debug cut ")),
    ("silent", re.compile(r"^info silent host")),
]
HOST = re.compile(r"host=(\S+)")
REPORT = re.compile(r"report=(?:outstanding|inflight)=([\d.]+),.*x0=([\d.]+)")


def records(folder):
    """(milliseconds since the first of all, words), in order of time."""
    found = []
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            parts = line.split(" ", 2)
            if len(parts) == 3 and parts[1].isdigit():
                found.append((int(parts[1]), parts[2]))
    found.sort(key=lambda r: r[0])
    return [(at - found[0][0], words) for at, words in found]


def kind_of(words):
    return next((name for name, pattern in KINDS if pattern.search(words)), None)


def by_second(all_records):
    names = [name for name, _ in KINDS]
    table = collections.defaultdict(collections.Counter)
    for at, words in all_records:
        table[at // 1000][kind_of(words)] += 1
    print("  s " + " ".join(f"{n:>12}" for n in names))
    for second in range(max(table) + 1):
        print(f"{second:3} " + " ".join(f"{table[second][n]:12}" for n in names))
    print("all " + " ".join(f"{sum(row[n] for row in table.values()):12}" for n in names))


def by_host(all_records):
    told = collections.defaultdict(lambda: collections.defaultdict(list))
    counts = collections.defaultdict(lambda: collections.defaultdict(collections.Counter))
    first = {}
    for at, words in all_records:
        host, kind = HOST.search(words), kind_of(words)
        if not host or not kind:
            continue
        first.setdefault(host[1], at)
        counts[host[1]][kind][at // 1000] += 1
        if report := REPORT.search(words):
            told[host[1]][at // 1000].append((float(report[2]), float(report[1])))
    seconds = range(all_records[-1][0] // 1000 + 1)
    for host in sorted(first, key=first.get):
        print(host)
        for row, index in (("load", 0), ("count", 1)):
            cells = [[t[index] for t in told[host][s]] for s in seconds]
            print(f"  {row:12}" + " ".join(f"{sum(c) / len(c):5.2f}" if c else "    ." for c in cells))
        for kind, per_second in counts[host].items():
            print(f"  {kind:12}" + " ".join(f"{per_second[s]:5}" if per_second[s] else "    ." for s in seconds))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder")
    parser.add_argument("--hosts", action="store_true", help="a block for each host instead of a row a second")
    options = parser.parse_args()
    all_records = records(options.folder)
    if not all_records:
        sys.exit(f"{options.folder}: no records of a relay in *.log")
    (by_host if options.hosts else by_second)(all_records)


if __name__ == "__main__":
    main()
