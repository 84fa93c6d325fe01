#!/usr/bin/env python3
"""Writes docs/SCORES.md: what callers got on the standard days, by commit.

Reads the entries of finished scores in journal/. For each deployment it keeps
the newest entries. Usage: scripts/scores.py [--entries N] > docs/SCORES.md
"""

import argparse
import collections
import json
import pathlib

HEADER = """# Scores

The share of value that callers got, less prices, on the standard days of each
deployment (column `worth` of the bench). Written by `scripts/scores.py` from the
entries of finished scores in `journal/`; a quick score has the light days only.
A day whose name begins with `fresh` was drawn for one score and is left out. A
difference below 0.03 is within the noise of a run. Entries compare only with
those of the same machine: x86-64 until 2026-12-05 03:46 and from 2026-12-07
17:04 on, arm64 in between; the two x86-64 machines may differ as well.
"""


def finished_scores(folder):
    """Yields (deployment, time, commit, worth by day, broken rules)."""
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text())
        if entry["cmd"] != "score" or not entry["ok"] or not entry["site"]:
            continue
        days = {day["name"]: day for day in entry["days"]}
        worth = {name: day["G"] for name, day in days.items()}
        rules = sorted({rule for day in days.values() for rule in day["rules"]})
        yield entry["site"], entry["at"][0], entry["head"][:7], worth, rules


def table(rows):
    """Returns the lines of one deployment's table."""
    names = sorted({n for row in rows for n in row[3] if "fresh" not in n})
    lines = ["| at | commit | " + " | ".join(names) + " | broken rules |",
             "|---" * (len(names) + 3) + "|"]
    for _, time, commit, worth, rules in rows:
        cells = [f"{worth[n]:.3f}" if n in worth else "" for n in names]
        lines.append(f"| {time[:16].replace('T', ' ')} | {commit} | " +
                     " | ".join(cells) + f" | {', '.join(rules) or 'none'} |")
    return lines


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=4,
                        help="entries of each deployment (default: 4)")
    options = parser.parse_args()
    root = pathlib.Path(__file__).resolve().parent.parent
    scores = collections.defaultdict(list)
    for row in finished_scores(root / "journal"):
        scores[row[0]].append(row)
    print(HEADER)
    for deployment in sorted(scores):
        print(f"## {deployment}\n")
        print("\n".join(table(scores[deployment][-options.entries:])) + "\n")


if __name__ == "__main__":
    main()
