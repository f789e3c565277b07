#!/usr/bin/env python3
"""Plays days of deployments with several builds of this repository, side by side.

    tools/matrix.py --bench PROGRAM --way before=DIR --way after=DIR --site FILE... [--day NAME...]
                    [--seeds 1,2,3] [--at-once 5] [--charge] [--why TEXT]

Each way is a checkout with its build. For each deployment and day it prints the mean worth of each
way over the seeds, the spread between them, and the difference to the first way. What every play
leaves in the journal of its checkout stays there, to be committed. Runs of one day and seed differ
between plays of the same code, so a difference is worth believing only when it is larger than the
spread of several. Without --charge no processor time is charged, and busy machines disturb less.
"""
import argparse
import concurrent.futures
import os
import re
import statistics
import subprocess
import sys

TROUBLED_DAYS = ["trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"]


def play(bench, directory, site, day, seed, charge, why):
    """Worth of one day, and whether a rule broke; None where the day could not be played."""
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
    days = args.day or TROUBLED_DAYS
    cells = {}
    with concurrent.futures.ThreadPoolExecutor(args.at_once) as pool:
        for site in args.site:
            for day in days:
                for seed in seeds:
                    for way, directory in ways.items():
                        cells.setdefault((site, day, way), []).append(
                            pool.submit(play, args.bench, directory, site, day, seed, args.charge,
                                        f"{args.why}: {way}"))
    first = next(iter(ways))
    for site in args.site:
        print(os.path.basename(site))
        sums = {way: [] for way in ways}
        for day in days:
            line = f"  {os.path.basename(day):28}"
            for way in ways:
                results = [f.result() for f in cells[(site, day, way)]]
                worths = [r[0] for r in results if r is not None]
                broken = [b for r in results if r is not None for b in r[2]]
                sums[way] += worths
                if not worths:
                    line += f"  {way}: not played"
                    continue
                spread = statistics.stdev(worths) if len(worths) > 1 else 0
                served = statistics.mean(r[1] for r in results if r is not None)
                line += (f"  {way} {statistics.mean(worths):6.3f} +-{spread:.3f} served {served:.3f}"
                         f" n={len(worths)}{' BROKEN ' + ','.join(broken) if broken else ''}")
            print(line)
        for way, worths in sums.items():
            if worths and sums[first]:
                change = statistics.mean(worths) - statistics.mean(sums[first])
                print(f"  mean {way:12} {statistics.mean(worths):6.3f}  {change:+.3f}  n={len(worths)}")


if __name__ == "__main__":
    main()
