"""Compares scores of two commits from the bench's journal, day by day.

Reads journal entries of `score`, groups them by deployment and commit, and
says which days moved beyond the spread of their repeats. A deployment whose
mean score falls by more than a bound fails the comparison, as does a broken
rule, a failed gate, or a day or deployment that only the earlier commit has.
"""

import argparse
import html
import json
import pathlib
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field


@dataclass
class DayFigures:
    """The worth of one day on both commits, a value a repeat."""

    before: list = field(default_factory=list)
    after: list = field(default_factory=list)
    broken: set = field(default_factory=set)

    def change(self):
        """The change of the mean; nothing for a day of one commit only."""
        if not self.before or not self.after:
            return None
        return mean(self.after) - mean(self.before)

    def moved(self):
        """Whether the change lies beyond the spread of repeats on both sides."""
        if min(len(self.before), len(self.after)) < 2:
            return False
        return min(self.after) > max(self.before) or max(self.after) < min(self.before)


@dataclass
class SiteComparison:
    """One deployment on both commits."""

    scores_before: list = field(default_factory=list)
    scores_after: list = field(default_factory=list)
    days: dict = field(default_factory=dict)
    gate_failed: bool = False

    def change(self):
        if not self.scores_before or not self.scores_after:
            return None
        return mean(self.scores_after) - mean(self.scores_before)


def mean(values):
    return sum(values) / len(values)


def read_scores(folder, commit):
    """The journal's entries of `score` for a commit, given by its first digits."""
    entries = []
    for path in sorted(pathlib.Path(folder).glob("*.json")):
        entry = json.loads(path.read_text())
        is_score = entry.get("cmd") == "score" and entry.get("score") is not None
        if is_score and entry.get("head", "").startswith(commit):
            entries.append(entry)
    return entries


def is_drawn(day):
    """Days drawn anew for each score can't be compared."""
    return day["name"].startswith("fresh-")


def compare(before, after):
    """Joins the entries of both commits by deployment and day."""
    sites = {}
    for entries, side in ((before, "before"), (after, "after")):
        for entry in entries:
            site = sites.setdefault(entry["site"], SiteComparison())
            getattr(site, "scores_" + side).append(entry["score"])
            for day in entry["days"]:
                if side == "after" and not day.get("gate", True):
                    site.gate_failed = True
                figures = None
                if not is_drawn(day):
                    figures = site.days.setdefault(day["name"], DayFigures())
                    getattr(figures, side).append(day["G"])
                if side == "after" and day["rules"]:
                    figures = figures or site.days.setdefault(day["name"], DayFigures())
                    figures.broken.update(day["rules"])
    return sites


def problems(sites, most_fall):
    """What makes the comparison fail, a line each."""
    found = []
    for name, site in sorted(sites.items()):
        if not site.scores_after:
            found.append(f"{name}: was not scored on the later commit")
            continue
        if not site.scores_before:
            found.append(f"{name}: was not scored on the earlier commit")
            continue
        if site.change() < -most_fall:
            found.append(f"{name}: the mean score fell by {-site.change():.3f}")
        if site.gate_failed:
            found.append(f"{name}: a day fails the gate")
        for day, figures in sorted(site.days.items()):
            if figures.broken:
                found.append(f"{name} {day}: broke {', '.join(sorted(figures.broken))}")
            if figures.before and not figures.after:
                found.append(f"{name} {day}: was not played on the later commit")
    return found


def span(values):
    if not values:
        return "not played"
    if len(values) == 1:
        return f"{values[0]:.3f}"
    return f"{mean(values):.3f} ({min(values):.3f} to {max(values):.3f})"


def rows(sites):
    """The table: deployment, day, worth before and after, the change."""
    for name, site in sorted(sites.items()):
        change = site.change()
        text = "" if change is None else f"{change:+.3f}"
        yield name, "score", span(site.scores_before), span(site.scores_after), text
        for day, figures in sorted(site.days.items()):
            change = figures.change()
            text = "" if change is None else f"{change:+.3f}"
            if figures.moved():
                text += ", beyond the spread"
            yield name, day, span(figures.before), span(figures.after), text


def bars(sites):
    """A plot of the days' means as SVG, before and after beside each other."""
    days = [
        (f"{name} {day}", mean(figures.before), mean(figures.after))
        for name, site in sorted(sites.items())
        for day, figures in sorted(site.days.items())
        if figures.before and figures.after
    ]
    height, width, left = 16, 400, 240
    parts = [f'<svg width="{left + width + 60}" height="{height * 2 * len(days) + 10}" font-size="11">']
    for index, (label, before, after) in enumerate(days):
        top = index * 2 * height
        parts.append(f'<text x="0" y="{top + height}">{html.escape(label)}</text>')
        for offset, value, colour in ((0, before, "#999"), (12, after, "#36c")):
            length = max(0.0, value) * width
            parts.append(f'<rect x="{left}" y="{top + offset + 2}" width="{length:.1f}" height="10" fill="{colour}"/>')
            parts.append(f'<text x="{left + length + 4:.1f}" y="{top + offset + 11}">{value:.3f}</text>')
    parts.append("</svg>")
    return "".join(parts)


def page(sites, found):
    """The comparison as one HTML page."""
    cells = "".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>" for row in rows(sites)
    )
    faults = "".join(f"<li>{html.escape(line)}</li>" for line in found) or "<li>none</li>"
    return (
        "<!doctype html><meta charset=utf-8><title>Scores compared</title>"
        "<h1>Scores compared</h1><p>Worth by day; grey before, blue after. A day moved where "
        "its repeats don't overlap.</p><h2>Problems</h2><ul>" + faults + "</ul>"
        "<table border=1><tr><th>deployment<th>day<th>before<th>after<th>change</tr>" + cells + "</table>" + bars(sites)
    )


def play(bench, commit, site_files, repeats, jobs, folder):
    """Scores deployments on a commit in a clone, and keeps the journal's new entries."""
    with tempfile.TemporaryDirectory() as place:
        subprocess.run(["git", "clone", "-q", ".", place], check=True)
        subprocess.run(["git", "-C", place, "checkout", "-q", commit], check=True)
        known = {path.name for path in pathlib.Path(place, "journal").glob("*.json")}
        for site in site_files:
            for _ in range(repeats):
                why = f"compare-scores: {commit}"
                subprocess.run([bench, "score", site, "--jobs", str(jobs), "--why", why], cwd=place)
        for path in pathlib.Path(place, "journal").glob("*.json"):
            if path.name not in known:
                pathlib.Path(folder, path.name).write_bytes(path.read_bytes())


def main(arguments):
    parser = argparse.ArgumentParser(prog="compare-scores", description=__doc__.splitlines()[0])
    parser.add_argument("--before", required=True, help="the earlier commit, for instance the last landing")
    parser.add_argument("--after", required=True, help="the later commit")
    parser.add_argument("--journal", default="journal", help="the folder of the journal")
    parser.add_argument("--most-fall", type=float, default=0.03, help="how far a mean score may fall")
    parser.add_argument("--html", help="write the table and a plot to this file")
    parser.add_argument("--bench", help="play both commits first with this fleetbench")
    parser.add_argument("--repeats", type=int, default=1, help="scores of each deployment to play")
    parser.add_argument("--jobs", type=int, default=2, help="cores that the bench may use")
    parser.add_argument("site", nargs="*", help="deployments to play; absolute paths")
    given = parser.parse_args(arguments)
    if bool(given.bench) != bool(given.site):
        parser.error("--bench and deployments go together")
    if given.bench:
        for commit in (given.before, given.after):
            play(given.bench, commit, given.site, given.repeats, given.jobs, given.journal)
    sites = compare(read_scores(given.journal, given.before), read_scores(given.journal, given.after))
    if not sites:
        print("compare-scores: the journal has no score of either commit", file=sys.stderr)
        return 2
    found = problems(sites, given.most_fall)
    for row in rows(sites):
        print("{:24} {:12} {:28} {:28} {}".format(*row).rstrip())
    for line in found:
        print("PROBLEM " + line)
    if given.html:
        pathlib.Path(given.html).write_text(page(sites, found))
    return 1 if found else 0
