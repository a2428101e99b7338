#!/usr/bin/env python3
"""Prints the results of scripts/compare.sh side by side: median (least–most)."""
import argparse
import collections
import glob
import json
import statistics
import subprocess
import sys

CLASSES = ["interactive", "lookup", "overnight"]
SCENES = ["ordinary", "overnight-flood", "interactive-flood", "hot-model",
          "dispatcher-killed", "data-centre-killed"]
# Killed engines lose their counts.
ENGINE_COUNTS = ["engine requests per request sent", "loads", "unloads"]
MODES = ["granted", "naive"]


def spread(values, digits):
    middle = statistics.median(values)
    return (f"{middle:.{digits}f} ({min(values):.{digits}f}–{max(values):.{digits}f})")


def percent(values):
    return spread([100 * value for value in values], 1)


def class_rows(name):
    def of(*path):
        def read(run):
            value = run["classes"][name]
            for key in path:
                value = value[key]
            return value
        return read
    return [
        (f"{name}: attainment, %", percent, of("attainment")),
        (f"{name}: goodput, 1/s", lambda v: spread(v, 1), of("goodput_per_s")),
        (f"{name}: first token 95%, ms", lambda v: spread(v, 0), of("first_token_ms", "95")),
        (f"{name}: first token 99%, ms", lambda v: spread(v, 0), of("first_token_ms", "99")),
        (f"{name}: gap 95%, ms", lambda v: spread(v, 1), of("token_gap_ms", "95")),
        (f"{name}: gap 99%, ms", lambda v: spread(v, 1), of("token_gap_ms", "99")),
        (f"{name}: refused, %", percent,
         lambda run: run["classes"][name]["refused"] / max(1, run["classes"][name]["sent"])),
        (f"{name}: failed or cut, %", percent,
         lambda run: (run["classes"][name]["failed"] + run["classes"][name]["unfinished"])
         / max(1, run["classes"][name]["sent"])),
        (f"{name}: refusal after, median ms", lambda v: spread(v, 0), of("refusal_ms", "50")),
        (f"{name}: refusal after, 99% ms", lambda v: spread(v, 0), of("refusal_ms", "99")),
        (f"{name}: sent late", lambda v: spread(v, 0), of("sent_late")),
    ]


def all_rows():
    rows = [("worth-weighted attainment, %", percent,
             lambda run: run["worth_weighted_attainment"])]
    for name in CLASSES:
        rows += class_rows(name)
    rows += [
        ("engine requests per request sent", lambda v: spread(v, 2),
         lambda run: run["engine_requests"] / run["sent_all"] if run.get("sent_all") else 0),
        ("loads", lambda v: spread(v, 0), lambda run: run["loads"]),
        ("unloads", lambda v: spread(v, 0), lambda run: run["unloads"]),
        ("load average of the machine", lambda v: spread(v, 1),
         lambda run: run["load_average"]),
    ]
    return rows


def is_brief(title, values):
    """Keeps the rows that answer the targets, and others if they are not all zero."""
    always = "attainment" in title or "engine requests" in title
    if always or "load average" in title:
        return True
    if "median" in title or "sent late" in title or "99%" in title:
        return "refusal after, 99%" in title and any(values)
    return any(values)


def plot(folder, runs):
    with open(folder + "/attainment.dat", "w", encoding="utf-8") as file:
        for scene in SCENES:
            if not all(runs.get((mode, scene)) for mode in MODES):
                continue
            figures = [100 * statistics.median(
                run["worth_weighted_attainment"] for run in runs[(mode, scene)])
                for mode in MODES]
            figures += [100 * statistics.median(
                run["classes"]["interactive"]["attainment"] for run in runs[(mode, scene)])
                for mode in MODES]
            label = "\\n".join(scene.rsplit("-", 1))
            print(f'"{label}"', *figures, file=file)
    for column, title, name in [(2, "Worth-weighted attainment (%)", "worth"),
                                (4, "Interactive attainment (%)", "interactive")]:
        subprocess.run(["gnuplot"], check=True, text=True, input=f"""
set terminal pngcairo size 1100,480 font "sans,13"
set output "{folder}/{name}.png"
set style data histogram
set style histogram cluster gap 1
set style fill solid 0.9
set boxwidth 0.9
set yrange [0:110]
set grid ytics
set ylabel "{title}"
set bmargin 5
set xlabel "Scene (median of the runs)" offset 0,-1
set xtics nomirror
set key outside top center horizontal
plot "{folder}/attainment.dat" using {column}:xtic(1) title "granted (ours)" lc rgb "#1f6fb4", \\
     "" using {column + 1} title "naive (baseline)" lc rgb "#d08a2e"
""")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("results", nargs="+", help="directories of scripts/compare.sh")
    parser.add_argument("--brief", action="store_true", help="leave out lesser rows")
    options = parser.parse_args()
    folder = options.results[0]
    runs = collections.defaultdict(list)
    paths = [path for one in options.results for path in glob.glob(one + "/*-*-*.json")]
    for path in sorted(paths):
        with open(path, encoding="utf-8") as file:
            run = json.load(file)
        if "mode" in run:
            runs[(run["mode"], run["scene"])].append(run)
    for scene in SCENES:
        modes = [mode for mode in MODES if runs[(mode, scene)]]
        if not modes:
            continue
        seeds = sorted({run["seed"] for mode in modes for run in runs[(mode, scene)]})
        print(f"\n### {scene} (seeds {', '.join(map(str, seeds))})\n")
        print("| |", " | ".join(modes), "|")
        print("|---|" + "---|" * len(modes))
        for title, form, read in all_rows():
            if scene == "data-centre-killed" and title in ENGINE_COUNTS:
                continue
            values = [read(run) for mode in modes for run in runs[(mode, scene)]]
            if options.brief and not is_brief(title, values):
                continue
            cells = [form([read(run) for run in runs[(mode, scene)]]) for mode in modes]
            print("|", title, "|", " | ".join(cells), "|")
    if any(all(runs.get((mode, scene)) for mode in MODES) for scene in SCENES):
        plot(folder, runs)


if __name__ == "__main__":
    sys.exit(main())
