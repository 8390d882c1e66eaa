"""Charts of an experiment, and an HTML page that embeds them and loads nothing from elsewhere."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # after the back end has been selected

from martenstep.lab.experiment.compare import arms, bootstrap_interval, table, values_by_repetition

Row = dict[str, Any]
STYLE = (
    "body{font:15px system-ui;max-width:70em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}"
    "td,th{border:1px solid #ccc;padding:.3em .6em;text-align:left}img{max-width:100%}.broken{color:#b00}"
)


def _factors(rows: list[Row]) -> list[str]:
    return [name.removeprefix("factor_") for name in rows[0] if name.startswith("factor_")]


def draw_chart(rows: list[Row], metric: str) -> Any:
    """Plot a metric over the first factor's levels, with a line for each combination of the other factors' levels."""
    figure, axes = plt.subplots(figsize=(7, 4))
    factors = _factors(rows)
    lines: dict[str, list[tuple[float, str, Any]]] = {}
    for arm in arms(rows):
        row = next(one for one in rows if one["arm"] == arm)
        interval = bootstrap_interval(list(values_by_repetition(rows, arm, metric).values()), metric)
        name = "/".join(str(row[f"factor_{factor}"]) for factor in factors[1:])
        position = float(row[f"value_{factors[0]}"]) if factors else 0.0
        level = str(row[f"factor_{factors[0]}"]) if factors else arm
        lines.setdefault(name, []).append((position, level, interval))
    for name, points in lines.items():
        points.sort(key=lambda point: point[0])
        means = [point[2].mean for point in points]
        below = [point[2].mean - point[2].low for point in points]
        above = [point[2].high - point[2].mean for point in points]
        axes.errorbar(
            [point[0] for point in points], means, yerr=[below, above], marker="o", capsize=3, label=name or None
        )
    ticks = {point[0]: point[1] for points in lines.values() for point in points}
    axes.set_xticks(list(ticks), list(ticks.values()))
    if factors:
        axes.set_xlabel(factors[0])
    axes.set_ylabel(metric)
    axes.set_ylim(bottom=min(0.0, axes.get_ylim()[0]))
    axes.grid(alpha=0.3)
    if len(lines) > 1:
        axes.legend()
    figure.tight_layout()
    return figure


def write_report(rows: list[Row], metadata: dict[str, str], names: list[str], baseline: str, out: Path) -> list[Path]:
    """Write charts as SVG and PNG, the table, and the HTML page; returns their paths."""
    out.mkdir(parents=True, exist_ok=True)
    paths = []
    images = []
    plt.rcParams["svg.hashsalt"] = "martenstep"  # equal figures give equal SVG files
    for metric in names:
        figure = draw_chart(rows, metric)
        for kind in ("svg", "png"):
            path = out / f"{metric}.{kind}"
            figure.savefig(path, metadata={"Date": None} if kind == "svg" else None, dpi=110)
            paths.append(path)
        png = io.BytesIO()
        figure.savefig(png, format="png", dpi=110)
        plt.close(figure)
        data = base64.b64encode(png.getvalue()).decode()
        images.append(
            f'<h2>{html.escape(metric)}</h2><img alt="{html.escape(metric)}" src="data:image/png;base64,{data}">'
        )
    text = table(rows, names, baseline)
    (out / "table.md").write_text(text + "\n", encoding="utf-8")
    lines = [line.strip("| ").split(" | ") for line in text.splitlines() if not line.startswith("| ---")]
    head, *body = lines
    cells = "".join(f"<tr>{''.join(f'<td>{html.escape(cell)}</td>' for cell in line)}</tr>" for line in body)
    name, plan = html.escape(metadata.get("name", "")), html.escape(metadata.get("plan", ""))
    against = f"; in brackets the paired difference from {html.escape(baseline)}" if baseline else ""
    heads = "".join(f"<th>{html.escape(one)}</th>" for one in head)
    page = (
        f"<!doctype html><meta charset=utf-8><title>{name}</title><style>{STYLE}</style><h1>{name}</h1>"
        f"<p>Revision {html.escape(metadata.get('revision', '') or 'unknown')}; emulated gateways, servers and store. "
        f"Means with 95% bootstrap intervals{against}, * where 0 lies outside its interval.</p>"
        f"<table><tr>{heads}</tr>{cells}</table>{''.join(images)}<h2>Plan</h2><pre>{plan}</pre>"
    )
    (out / "report.html").write_text(page, encoding="utf-8")
    return [*paths, out / "table.md", out / "report.html"]
