"""Counters, gauges and latency histograms of the call path, in the Prometheus text format."""

from __future__ import annotations

from collections import Counter

from hdrh.histogram import HdrHistogram

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class PathMetrics:
    """Counters by name and reason, gauges by name, and one latency histogram per name."""

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self._sums_ms: Counter[str] = Counter()

    def count(self, name: str, label: str = "") -> None:
        """Increment a counter."""
        self._counters[name, label] += 1

    def set_gauge(self, name: str, value: float | None) -> None:
        """Set a gauge; with None it is no longer reported."""
        if value is None:
            self._gauges.pop(name, None)
        else:
            self._gauges[name] = value

    def record_latency(self, name: str, latency_ms: float) -> None:
        """Record a latency in the histogram ``name``."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        latency_us = round(latency_ms * 1000)
        histogram.record_value(min(max(latency_us, LOWEST_LATENCY_US), HIGHEST_LATENCY_US))
        self._sums_ms[name] += latency_ms

    def render(self) -> bytes:
        """Return all metrics as text, encoded."""
        lines: list[str] = []
        for name in sorted({name for name, _ in self._counters}):
            lines.append(f"# TYPE cottonlink_{name}_total counter")
            for (counter, label), value in sorted(self._counters.items()):
                if counter == name:
                    labels = f'{{reason="{label}"}}' if label else ""
                    lines.append(f"cottonlink_{name}_total{labels} {value}")
        for name, value in sorted(self._gauges.items()):
            lines += [f"# TYPE cottonlink_{name} gauge", f"cottonlink_{name} {value}"]
        for name, histogram in sorted(self._histograms.items()):
            metric = f"cottonlink_{name}_latency_ms"
            lines.append(f"# TYPE {metric} summary")
            for quantile in QUANTILES:
                value_ms = histogram.get_value_at_percentile(quantile * 100) / 1000
                lines.append(f'{metric}{{quantile="{quantile}"}} {value_ms}')
            lines.append(f"{metric}_sum {self._sums_ms[name]}")
            lines.append(f"{metric}_count {histogram.get_total_count()}")
        return "\n".join([*lines, ""]).encode()
