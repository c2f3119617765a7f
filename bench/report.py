"""Output of the experiments: tables, JSON results, plots, target summary."""

import json
import os
import subprocess

OUT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "out")


def print_table(header, rows):
    widths = [max(len(str(row[i])) for row in [header, *rows])
              for i in range(len(header))]
    for row in [header, *rows]:
        print("  ".join(str(cell).ljust(width)
                        for cell, width in zip(row, widths)).rstrip())


def save_json(name, results):
    os.makedirs(OUT, exist_ok=True)
    with open(os.path.join(OUT, name + ".json"), "w") as out:
        json.dump(results, out, indent=2)


def plot_bars(name, title, rows):
    """Plots labelled bars with gnuplot; the data file stays beside the PNG."""
    os.makedirs(OUT, exist_ok=True)
    data = os.path.join(OUT, name + ".dat")
    with open(data, "w") as out:
        for label, value in rows:
            out.write('"%s" %g\n' % (label, value))
    script = """set terminal png size 800,480
set output "%s"
set title "%s"
set style fill solid
set boxwidth 0.6
set yrange [0:*]
set grid y
unset key
plot "%s" using 2:xtic(1) with boxes
""" % (os.path.join(OUT, name + ".png"), title, data)
    subprocess.run(["gnuplot"], input=script, text=True, check=False,
                   stderr=subprocess.DEVNULL)


class Targets:
    """Measured values compared with the targets set before the experiment."""

    def __init__(self, name):
        self.name = name
        self.parts = []
        self.values = {}

    def add(self, target, value, unit, met):
        self.values[target] = {"figure": value, "unit": unit, "met": met}
        self.parts.append("%s %s %s %s" % (target, format_value(value), unit,
                                           "met" if met else "missed"))

    def at_most(self, target, value, limit, unit):
        self.add("%s<=%s" % (target, format_value(limit)), value, unit,
                 value <= limit)

    def at_least(self, target, value, limit, unit):
        self.add("%s>=%s" % (target, format_value(limit)), value, unit,
                 value >= limit)

    def finish(self, details):
        """Saves the results and prints the summary line of the targets."""
        save_json(self.name, {"targets": self.values, "details": details})
        print("%s: %s" % (self.name, "; ".join(self.parts)))


def format_value(value):
    return "%.4g" % value if isinstance(value, float) else str(value)
