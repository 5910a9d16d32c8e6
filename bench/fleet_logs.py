#!/usr/bin/env python3
"""Aggregates the debug logs of several relays per second, or per host and second.

    bench/fleet_logs.py DIR            a row per second: the number of records of each kind
    bench/fleet_logs.py DIR --hosts    per host and second: mean reported load and connection count, records of each kind

DIR holds one `*.log` per relay, written with STOATRUN_LOG=debug. Seconds count from the earliest record in any log.
"""

import argparse
import collections
import pathlib
import re
import sys

# Kinds of log records. A record has the first kind whose pattern matches its message.
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
ENDPOINT_PATTERN = re.compile(r"endpoint=(\S+)")
REPORT_PATTERN = re.compile(r"report=(?:outstanding|inflight)=([\d.]+),.*x0=([\d.]+)")


def read_records(folder):
    """Returns (milliseconds since the earliest record, message) for each record, ordered by time."""
    found = []
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            parts = line.split(" ", 2)
            if len(parts) == 3 and parts[1].isdigit():
                found.append((int(parts[1]), parts[2]))
    found.sort(key=lambda record: record[0])
    return [(time_ms - found[0][0], message) for time_ms, message in found]


def record_kind(message):
    """Returns the name of the record's kind, or None."""
    return next((name for name, pattern in KINDS if pattern.search(message)), None)


def print_by_second(all_records):
    """Prints the number of records of each kind per second, summed over all relays."""
    names = [name for name, _ in KINDS]
    table = collections.defaultdict(collections.Counter)
    for time_ms, message in all_records:
        table[time_ms // 1000][record_kind(message)] += 1
    print("  s " + " ".join(f"{name:>12}" for name in names))
    for second in range(max(table) + 1):
        print(f"{second:3} " + " ".join(f"{table[second][name]:12}" for name in names))
    print("all " + " ".join(f"{sum(row[name] for row in table.values()):12}" for name in names))


def print_by_host(all_records):
    """Prints the mean reported load and connection count and the number of records of each kind, per host and second."""
    reports = collections.defaultdict(lambda: collections.defaultdict(list))
    counts = collections.defaultdict(lambda: collections.defaultdict(collections.Counter))
    first_seen = {}
    for time_ms, message in all_records:
        host, kind = ENDPOINT_PATTERN.search(message), record_kind(message)
        if not host or not kind:
            continue
        first_seen.setdefault(host[1], time_ms)
        counts[host[1]][kind][time_ms // 1000] += 1
        if report := REPORT_PATTERN.search(message):
            reports[host[1]][time_ms // 1000].append((float(report[2]), float(report[1])))
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
    parser.add_argument("--hosts", action="store_true", help="print a block per host instead of a row per second")
    options = parser.parse_args()
    all_records = read_records(options.folder)
    if not all_records:
        sys.exit(f"{options.folder}: no relay log records in *.log")
    (print_by_host if options.hosts else print_by_second)(all_records)


if __name__ == "__main__":
    main()
