"""Figures from records, by histograms."""

import hdrh.histogram

__all__ = ["line", "percentile_ms", "share"]

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3


def percentile_ms(records, percent):
    """Return a percentile of the records' times in milliseconds."""
    histogram = hdrh.histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for record in records:
        histogram.record_value(max(1, int(record.seconds * 1e6)))
    if not records:
        return float("nan")
    return histogram.get_value_at_percentile(percent) / 1000


def share(part, whole):
    """Return a ratio; nothing of nothing is 0."""
    return len(part) / len(whole) if whole else 0.0


def line(measure, **fields):
    """Return one line of key=value pairs."""
    pairs = [f"measure={measure}"]
    for key, value in fields.items():
        text = f"{value:.3f}" if isinstance(value, float) else str(value)
        pairs.append(f"{key}={text}")
    return " ".join(pairs)
