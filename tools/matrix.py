#!/usr/bin/env python3
"""Runs simulated deployments with several builds of this repository, side by side.

    tools/matrix.py --bench PROGRAM --way before=DIR --way after=DIR --site FILE... [--day NAME...]
                    [--seeds 1,2,3] [--at-once 5] [--charge] [--why TEXT]

Each --way is a checkout with its build, each --site a deployment, each --day a simulation. For each
deployment and simulation it prints the mean score of each build over the seeds, the standard
deviation, and the difference to the first build. Every run adds entries to the journal of its
checkout; they stay there, to be committed. Runs of one simulation and seed differ between runs of
the same code, so a difference is significant only if it is larger than the deviation of several
runs. Without --charge no processor time is charged, so a busy machine distorts the results less.
"""
import argparse
import concurrent.futures
import os
import re
import statistics
import subprocess
import sys

DEFAULT_DAYS = ["trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"]


def run_simulation(bench, directory, site, day, seed, charge, why):
    """Score and served fraction of one simulation and the violated rules; None if it failed."""
    command = [bench, "run", site, day, "--jobs", "1", "--why", why]
    if seed is not None:
        command += ["--seed", str(seed)]
    if not charge:
        command.append("--no-cpu")
    done = subprocess.run(command, cwd=directory, capture_output=True, text=True, check=False)
    name = os.path.basename(day).removesuffix(".toml")
    row = re.search(rf"^{re.escape(name)}\S*\s+\d+/\d+\s+(\S+)\s+(-?[\d.]+)\s+([\d.]+)\s+([\d.]+)(.*)$",
                    done.stdout, re.MULTILINE)
    if row is None:
        print(done.stdout[-400:], done.stderr[-400:], file=sys.stderr)
        return None
    broken = re.findall(r"\b[A-Z]{4,} \d+", row.group(5))
    return float(row.group(2)), float(row.group(3)), broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bench", required=True)
    parser.add_argument("--way", action="append", required=True, metavar="NAME=DIR")
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--day", action="append")
    parser.add_argument("--seeds", default="")
    parser.add_argument("--at-once", type=int, default=5)
    parser.add_argument("--charge", action="store_true")
    parser.add_argument("--why", default="matrix of ways")
    args = parser.parse_args()
    ways = dict(way.split("=", 1) for way in args.way)
    seeds = [int(s) for s in args.seeds.split(",")] if args.seeds else [None]
    days = args.day or DEFAULT_DAYS
    cells = {}
    with concurrent.futures.ThreadPoolExecutor(args.at_once) as pool:
        for site in args.site:
            for day in days:
                for seed in seeds:
                    for way, directory in ways.items():
                        cells.setdefault((site, day, way), []).append(
                            pool.submit(run_simulation, args.bench, directory, site, day, seed,
                                        args.charge, f"{args.why}: {way}"))
    first = next(iter(ways))
    for site in args.site:
        print(os.path.basename(site))
        sums = {way: [] for way in ways}
        for day in days:
            line = f"  {os.path.basename(day):28}"
            for way in ways:
                results = [f.result() for f in cells[(site, day, way)]]
                scores = [r[0] for r in results if r is not None]
                broken = [b for r in results if r is not None for b in r[2]]
                sums[way] += scores
                if not scores:
                    line += f"  {way}: not played"
                    continue
                spread = statistics.stdev(scores) if len(scores) > 1 else 0
                served = statistics.mean(r[1] for r in results if r is not None)
                line += (f"  {way} {statistics.mean(scores):6.3f} +-{spread:.3f} served {served:.3f}"
                         f" n={len(scores)}{' BROKEN ' + ','.join(broken) if broken else ''}")
            print(line)
        for way, scores in sums.items():
            if scores and sums[first]:
                change = statistics.mean(scores) - statistics.mean(sums[first])
                print(f"  mean {way:12} {statistics.mean(scores):6.3f}  {change:+.3f}  n={len(scores)}")


if __name__ == "__main__":
    main()
