"""Writes the tables of docs/CAPACITY.md from benchmark records.

Usage: scripts/capacity.py [RECORDS.json...]
Without files, checks that the page matches docs/capacity-records.json.
"""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
RECORDS = ROOT / "docs" / "capacity-records.json"

# Required size of the fleet, and its changes.
NODES = 2_100
TARGETS = 13_000
NEW_FLOWS_PER_SECOND = 140_000
OPEN_FLOWS = 14_000_000
CHANGES_PER_DAY = 2_700
INSTANCE_EVENTS_PER_DAY = 2 * (61 + 1_600)
SECONDS_PER_DAY = 86_400
SERVICE_ADDRESSES = 5_000


def load_records(paths):
    records = []
    for path in paths:
        records += json.loads(pathlib.Path(path).read_text())
    return records


def format_number(value):
    if value == int(value) and abs(value) < 1e9:
        return f"{int(value):,}"
    return f"{value:.4g}"


def measured_table(records):
    lines = ["| figure | measured | target | for comparison |",
             "|---|---|---|---|"]
    for record in records:
        target = ""
        if "target" in record:
            sign = ">=" if record["isLowerBound"] else "<="
            verdict = "met" if record["isMet"] else "**not met**"
            target = f"{sign} {format_number(record['target'])}: {verdict}"
        comparison = ""
        if "reference" in record:
            reference = format_number(record["reference"])
            comparison = f"{record['referenceName']}: {reference}"
        lines.append(
            f"| {record['figure']} | {format_number(record['value'])} "
            f"{record['unit']} | {target} | {comparison} |"
        )
    return "\n".join(lines)


def derived_table(values):
    """Returns the table of each role's load at the required fleet size."""
    flow_rate = NEW_FLOWS_PER_SECOND / TARGETS
    watchers = TARGETS / SERVICE_ADDRESSES - 1
    report_rate = (2 * flow_rate * watchers) * values[
        "load report, bytes on the wire"]
    notice_bytes = values["owner notice, bytes on the wire"]
    exchange_rate = values["exchange of views, steady at 256 nodes"]
    diff_bytes = values["difference of one target at 13000 targets"]
    change_rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    event_rate = INSTANCE_EVENTS_PER_DAY / SECONDS_PER_DAY
    diff_rate = (change_rate + event_rate) * diff_bytes
    # Milliseconds per second, divided by 10, are percent of a core.
    parse_cpu = (
        change_rate * values["reading a document at 13000 targets"]
        + event_rate * values["reading an instance list at 13000 targets"]
        + (change_rate + event_rate) * values[
            "building a view at 13000 targets"]
    ) / 10
    diff_cpu = (change_rate + event_rate) * values[
        "making a difference at 13000 targets"] / 10
    exchange_cpu = values[
        "processor time of the exchange, steady at 256 nodes"]
    text_megabytes = 2 * (
        values["document at 13000 targets"]
        + values["instance list at 13000 targets"]) / 1000
    view_mebibytes = values[
        "view with its document and list at 13000 targets"]
    flow_bytes = values["agent table, bytes a flow at 500,000 flows"]
    cache_entry_bytes = values["balancer cache, bytes a flow at 500,000 flows"]
    agent_rate = (
        report_rate + flow_rate * notice_bytes + exchange_rate + diff_rate)
    balancer_rate = (
        NEW_FLOWS_PER_SECOND / NODES * notice_bytes + exchange_rate + diff_rate)
    cpu = parse_cpu + diff_cpu + exchange_cpu
    rows = [
        ("agent: owned flows", f"14 M / 13,000 = {OPEN_FLOWS / TARGETS:.0f}, "
         f"x {flow_bytes:.0f} bytes",
         f"{OPEN_FLOWS / TARGETS * flow_bytes / 1000:.0f} kB", "",
         "`FlowTable`"),
        ("agent: load reports",
         f"2 x {flow_rate:.1f} changes/s x {watchers:.1f} watchers x 77 bytes; "
         "at most 8 KB/s with 7 watchers",
         f"{report_rate / 1000:.1f} KB/s", "",
         "`PeerLoadTable`, `TokenBucket`"),
        ("agent: owner notices",
         f"{flow_rate:.1f}/s x {notice_bytes:.0f} bytes",
         f"{flow_rate * notice_bytes / 1000:.2f} KB/s", "", "`OwnerRole`"),
        ("agent: control bytes, total", "reports + notices + views",
         f"{agent_rate / 1000:.1f} KB/s", "11 KB/s", ""),
        ("agent of a service with 8 or more targets", "8 KB/s of reports",
         f"{(agent_rate - report_rate + 8000) / 1000:.1f} KB/s", "11 KB/s", ""),
        ("balancer: owner cache",
         f"1 M entries at most x {cache_entry_bytes:.0f} bytes (data memory)",
         f"{cache_entry_bytes:.0f} MB", "", "`OwnerCache`"),
        ("balancer: owner notices received",
         f"{NEW_FLOWS_PER_SECOND / NODES:.0f}/s x {notice_bytes:.0f} bytes",
         f"{NEW_FLOWS_PER_SECOND / NODES * notice_bytes / 1000:.1f} KB/s", "",
         "`BalancerEngine`"),
        ("balancer: control bytes, total", "notices + views",
         f"{balancer_rate / 1000:.1f} KB/s", "11 KB/s", ""),
        ("every node: view exchange", "3 peers, once a second",
         f"{exchange_rate / 1000:.2f} KB/s", "", "`ViewExchange`"),
        ("every node: deltas", f"({CHANGES_PER_DAY:,} + "
         f"{INSTANCE_EVENTS_PER_DAY:,}) a day x {diff_bytes:.0f} bytes",
         f"{diff_rate:.0f} bytes/s", "", "`TextHistory`"),
        ("every node: parsing texts",
         f"{change_rate * SECONDS_PER_DAY:,.0f} x document + "
         f"{event_rate * SECONDS_PER_DAY:,.0f} x list a day",
         f"{parse_cpu:.2f}% of a core", "", "`ViewStore`"),
        ("every node: creating deltas", "once for each change",
         f"{diff_cpu:.2f}% of a core", "", "`TextHistory`"),
        ("every node: control processor time", "parsing + deltas + "
         "exchange", f"{cpu:.2f}% of a core", "1.2%", ""),
        ("every node: stored texts", "2 documents + 2 lists",
         f"{text_megabytes:.1f} MB", "", "`TextHistory`"),
        ("every node: control memory", "texts + view",
         f"{text_megabytes + view_mebibytes * 1.049:.1f} MB", "32 MB", ""),
        ("configuration service: calls per second",
         "10 readers (2 a zone) x 2 watches, "
         "2 s each, and one more call at each change",
         f"{20 / 2 + 20 * (change_rate + event_rate):.0f}", "200", "`ViewWatch`"),
        ("naive: calls at each change", "15,100 processes", "15,100",
         "2,000/s", ""),
        ("naive: bytes of changes", "full texts to each process",
         f"{(change_rate * values['document at 13000 targets'] + event_rate * values['instance list at 13000 targets']):.0f} KB/s",
         "11 KB/s", ""),
    ]
    lines = ["| row | arithmetic | at the required size | allowed | "
             "implemented by |",
             "|---|---|---|---|---|"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def replace_table(page, name, table):
    """Returns the page with a new table between the markers of that name."""
    before, start, rest = page.partition(f"<!-- {name} -->\n")
    _, end, after = rest.partition("<!-- end -->")
    if not start or not end:
        raise RuntimeError(f"no markers for {name} in {PAGE}")
    return before + start + table + "\n" + end + after


def main():
    if len(sys.argv) > 1:
        RECORDS.write_text(
            json.dumps(load_records(sys.argv[1:]), indent=1) + "\n")
    records = load_records([RECORDS])
    values = {record["figure"]: record["value"] for record in records}
    page = PAGE.read_text()
    new_page = replace_table(page, "measured", measured_table(records))
    new_page = replace_table(new_page, "derived", derived_table(values))
    if len(sys.argv) > 1:
        PAGE.write_text(new_page)
    elif new_page != page:
        print("docs/CAPACITY.md differs from its records; run "
              "scripts/capacity.py with the records")
        return 1
    print("docs/CAPACITY.md matches its records")
    return 0


if __name__ == "__main__":
    sys.exit(main())
