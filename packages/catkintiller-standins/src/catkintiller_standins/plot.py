"""Plots goodput over time as an SVG file."""

import collections

from . import load

WIDTH, HEIGHT, MARGIN = 720, 300, 48
BIN_S = 0.5
COLORS = ("#999999", "#cc5533", "#2255aa", "#228844")


def compute_goodput(results: list[load.RootResult]) -> list[float]:
    """Computes complete responses in time, per second, by send time.

    :returns: one rate for each bin of ``BIN_S`` seconds.
    """
    bins = collections.Counter(
        int(r.sent_s / BIN_S) for r in results if r.outcome == "whole"
    )
    return [bins[i] / BIN_S for i in range(max(bins, default=0) + 1)]


def write_plot(
    file: str,
    title: str,
    curves: dict[str, list[float]],
    trigger_start_s: float,
    trigger_duration_s: float,
) -> None:
    """Writes the goodput curves of several arms; the trigger's time is shaded.

    :param curves: rates per second, one for each bin, by the name of the arm.
    """
    duration_s = max((len(curve) for curve in curves.values()), default=1) * BIN_S
    max_rate = max((max(c, default=1.0) for c in curves.values()), default=1.0)

    def format_point(at_s: float, rate: float) -> str:
        x = MARGIN + at_s / duration_s * (WIDTH - 2 * MARGIN)
        y = HEIGHT - MARGIN - rate / max_rate * (HEIGHT - 2 * MARGIN)
        return f"{x:.1f},{y:.1f}"

    left, top = format_point(trigger_start_s, max_rate).split(",")
    right, bottom = format_point(trigger_start_s + trigger_duration_s, 0).split(",")
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<rect x="{left}" y="{top}" width="{float(right) - float(left):.1f}" '
        f'height="{float(bottom) - float(top):.1f}" fill="#eeeeee"/>',
        f'<text x="{MARGIN}" y="20">{title}: complete responses per second</text>',
        f'<text x="4" y="{MARGIN + 4}">{max_rate:.0f}</text>',
        f'<text x="4" y="{HEIGHT - MARGIN}">0</text>',
        f'<text x="{WIDTH - MARGIN}" y="{HEIGHT - 28}">{duration_s:.0f} s</text>',
    ]
    pairs = zip(curves.items(), COLORS, strict=False)
    for index, ((name, curve), color) in enumerate(pairs):
        points = " ".join(format_point(i * BIN_S, rate) for i, rate in enumerate(curve))
        parts.append(
            f'<polyline points="{points}" fill="none" stroke="{color}" '
            'stroke-width="2"/>'
        )
        x = MARGIN + index * 200
        parts.append(f'<text x="{x}" y="{HEIGHT - 8}" fill="{color}">{name}</text>')
    parts.append("</svg>")
    with open(file, "w", encoding="utf-8") as stream:
        stream.write("\n".join(parts) + "\n")
