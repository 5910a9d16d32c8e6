#!/usr/bin/env python3
"""Plots the CSV output of fleet_measure, with one SVG file per experiment and metric.

    bench/fleet_plots.py METRICS.csv DIRECTORY

A bar shows the median over the seeds; the line on it spans the minimum to the maximum.
"""
import csv
import html
import os
import re
import sys
from collections import defaultdict

WIDTH, ROW_HEIGHT = 760, 22
LEFT, RIGHT = 330, 90  # Margins for the labels and the values.


def render_bar(row, top, scale):
    """SVG elements of a labelled bar. `top` is in pixels, `scale` in pixels per unit."""
    median, minimum, maximum = (float(row[column]) for column in ("median", "least", "most"))
    label = f'{row["relays"]} relays, {row["condition"]}'
    end = LEFT + maximum * scale
    return [
        f'<text x="{LEFT - 6}" y="{top + 12}" text-anchor="end">{html.escape(label)}</text>',
        f'<rect x="{LEFT}" y="{top + 2}" width="{max(median, 0) * scale:.1f}" height="12" fill="#6a8caf"/>',
        f'<line x1="{LEFT + max(minimum, 0) * scale:.1f}" x2="{end:.1f}" y1="{top + 8}" y2="{top + 8}" stroke="black"/>',
        f'<text x="{end + 6:.1f}" y="{top + 12}">{median:.3g}</text>',
    ]


def render_chart(title, rows):
    maximum = max(float(row["most"]) for row in rows) or 1.0
    scale = (WIDTH - LEFT - RIGHT) / maximum
    height = 40 + ROW_HEIGHT * len(rows)
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
        f'<text x="8" y="20" font-size="14">{html.escape(title)}</text>',
    ]
    for index, row in enumerate(rows):
        lines += render_bar(row, 36 + index * ROW_HEIGHT, scale)
    return "\n".join(lines + ["</svg>", ""])


def read_charts(path):
    """Returns the rows of the CSV file, grouped by (experiment, metric)."""
    charts = defaultdict(list)
    with open(path, newline="") as csv_file:
        for row in csv.DictReader(csv_file):
            charts[(row["experiment"], row["figure"])].append(row)
    return charts


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    csv_path, folder = sys.argv[1:]
    os.makedirs(folder, exist_ok=True)
    for (experiment, metric), rows in read_charts(csv_path).items():
        if all(float(row["most"]) == 0 for row in rows):
            continue
        name = re.sub(r"[^a-z0-9]+", "-", f"{experiment} {metric}".lower()).strip("-")
        with open(os.path.join(folder, name + ".svg"), "w") as svg_file:
            svg_file.write(render_chart(f"{experiment}: {metric}", rows))


if __name__ == "__main__":
    main()
