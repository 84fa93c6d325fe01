"""Writes the tables of docs/CAPACITY.md from the bench's records.

Usage: scripts/capacity.py RECORDS.json...
Without files the page is checked against docs/capacity-records.json only.
"""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RECORDS = ROOT / "docs" / "capacity-records.json"

NODES = 2_100
TARGETS = 13_000
NEW_FLOWS = 140_000
OPEN_FLOWS = 14_000_000
CHANGES_A_DAY = 2_700
INSTANCE_EVENTS_A_DAY = 2 * (61 + 1_600)
DAY = 86_400
ADDRESSES = 5_000


def load(paths):
    records = []
    for path in paths:
        records += json.loads(pathlib.Path(path).read_text())
    return records


def number(value):
    if value == int(value) and abs(value) < 1e9:
        return f"{int(value):,}"
    return f"{value:.4g}"


def measured_table(records):
    lines = ["| figure | measured | target | beside it |", "|---|---|---|---|"]
    for record in records:
        target = ""
        if "target" in record:
            sign = ">=" if record["isLowerBound"] else "<="
            verdict = "met" if record["isMet"] else "**not met**"
            target = f"{sign} {number(record['target'])}: {verdict}"
        beside = ""
        if "reference" in record:
            beside = f"{record['referenceName']}: {number(record['reference'])}"
        lines.append(
            f"| {record['figure']} | {number(record['value'])} "
            f"{record['unit']} | {target} | {beside} |"
        )
    return "\n".join(lines)


def derived_table(values):
    """The rows of each role at the letter's size, with the arithmetic."""
    new = NEW_FLOWS / TARGETS
    watchers = TARGETS / ADDRESSES - 1
    reports = (2 * new * watchers) * values["load report, bytes on the wire"]
    notice = values["owner notice, bytes on the wire"]
    exchange = values["exchange of views, steady at 256 nodes"]
    difference = values["difference of one target at 13000 targets"]
    changes = CHANGES_A_DAY / DAY
    events = INSTANCE_EVENTS_A_DAY / DAY
    differences = (changes + events) * difference
    reading = (
        changes * values["reading a document at 13000 targets"]
        + events * values["reading an instance list at 13000 targets"]
        + (changes + events) * values["building a view at 13000 targets"]
    ) / 10
    making = (changes + events) * values[
        "making a difference at 13000 targets"] / 10
    exchange_cpu = values[
        "processor time of the exchange, steady at 256 nodes"]
    texts = 2 * (
        values["document at 13000 targets"]
        + values["instance list at 13000 targets"]) / 1000
    view = values["view with its document and list at 13000 targets"]
    flow = values["agent table, bytes a flow at 500,000 flows"]
    cache = values["balancer cache, bytes a flow at 500,000 flows"]
    agent_bytes = reports + new * notice + exchange + differences
    balancer_bytes = NEW_FLOWS / NODES * notice + exchange + differences
    cpu = reading + making + exchange_cpu
    rows = [
        ("agent: flows held", f"14 M / 13,000 = {OPEN_FLOWS / TARGETS:.0f}, "
         f"x {flow:.0f} bytes", f"{OPEN_FLOWS / TARGETS * flow / 1000:.0f} kB",
         "", "`FlowTable`"),
        ("agent: load reports", f"2 x {new:.1f} changes/s x {watchers:.1f} "
         "watchers x 77 bytes; at most 8 KB/s with 7 watchers",
         f"{reports / 1000:.1f} KB/s", "", "`LoadBoard`, `ByteBudget`"),
        ("agent: owner notices", f"{new:.1f}/s x {notice:.0f} bytes",
         f"{new * notice / 1000:.2f} KB/s", "", "`OwnerSide`"),
        ("agent: control bytes in all", "reports + notices + views",
         f"{agent_bytes / 1000:.1f} KB/s", "11 KB/s", ""),
        ("agent of a service with 8 or more targets", "8 KB/s of reports",
         f"{(agent_bytes - reports + 8000) / 1000:.1f} KB/s", "11 KB/s", ""),
        ("balancer: owner cache", f"1 M entries at most x {cache:.0f} bytes "
         "(data memory)", f"{cache:.0f} MB", "", "`OwnerCache`"),
        ("balancer: owner notices taken", f"{NEW_FLOWS / NODES:.0f}/s x "
         f"{notice:.0f} bytes", f"{NEW_FLOWS / NODES * notice / 1000:.1f} KB/s",
         "", "`BalancerEngine`"),
        ("balancer: control bytes in all", "notices + views",
         f"{balancer_bytes / 1000:.1f} KB/s", "11 KB/s", ""),
        ("every node: exchange of views", "3 peers, once a second",
         f"{exchange / 1000:.2f} KB/s", "", "`ViewExchange`"),
        ("every node: differences", f"({CHANGES_A_DAY:,} + "
         f"{INSTANCE_EVENTS_A_DAY:,}) a day x {difference:.0f} bytes",
         f"{differences:.0f} bytes/s", "", "`TextHistory`"),
        ("every node: reading texts", f"{changes * DAY:,.0f} x document + "
         f"{events * DAY:,.0f} x list a day", f"{reading:.2f}% of a core", "",
         "`ViewStore`"),
        ("every node: making differences", "once for each change",
         f"{making:.2f}% of a core", "", "`TextHistory`"),
        ("every node: control processor time", "reading + differences + "
         "exchange", f"{cpu:.2f}% of a core", "1.2%", ""),
        ("every node: texts kept", "2 documents + 2 lists",
         f"{texts:.1f} MB", "", "`TextHistory`"),
        ("every node: control memory", "texts + view",
         f"{texts + view * 1.049:.1f} MB", "32 MB", ""),
        ("service: calls a second", "10 readers (2 a zone) x 2 watches, "
         "each of 2 s, and one more at each change",
         f"{20 / 2 + 20 * (changes + events):.0f}", "200", "`ViewWatch`"),
        ("naive: calls at each change", "15,100 processes", "15,100",
         "2,000/s", ""),
        ("naive: bytes of changes", "whole texts to each process",
         f"{(changes * values['document at 13000 targets'] + events * values['instance list at 13000 targets']):.0f} KB/s",
         "11 KB/s", ""),
    ]
    lines = ["| row | arithmetic | at the letter's size | allowed | carried by |",
             "|---|---|---|---|---|"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def replace(page, name, table):
    """The page with another table between the marks of that name."""
    before, start, rest = page.partition(f"<!-- {name} -->\n")
    _, end, after = rest.partition("<!-- end -->")
    if not start or not end:
        raise RuntimeError(f"no marks for {name} in {PAGE}")
    return before + start + table + "\n" + end + after


def main():
    if len(sys.argv) > 1:
        RECORDS.write_text(json.dumps(load(sys.argv[1:]), indent=1) + "\n")
    records = load([RECORDS])
    values = {record["figure"]: record["value"] for record in records}
    page = PAGE.read_text()
    written = replace(page, "measured", measured_table(records))
    written = replace(written, "derived", derived_table(values))
    if len(sys.argv) > 1:
        PAGE.write_text(written)
    elif written != page:
        print("docs/CAPACITY.md differs from its records; run "
              "scripts/capacity.py with the records")
        return 1
    print("docs/CAPACITY.md matches its records")
    return 0


if __name__ == "__main__":
    sys.exit(main())
