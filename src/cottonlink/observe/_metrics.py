"""Counters, gauges and latency histograms of a node, in the Prometheus text format."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Iterator

from attrs import frozen
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, SummaryMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


@frozen
class LatencySummary:
    """Latencies in milliseconds by percentile (50.0 to 99.9), and the number of values."""

    count: int
    percentiles_ms: dict[float, float]


class Metrics:
    """Counters by name and label, gauges by name, and one histogram per step. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self._sums_us: Counter[str] = Counter()

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name`` with ``label``."""
        with self._lock:
            self._counters[name, label] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name``."""
        with self._lock:
            self._gauges[name] = value

    def record_latency(self, step: str, latency_ms: float) -> None:
        """Add one duration to the histogram of ``step``; it is clamped to 1 µs to 120 s."""
        latency_us = min(max(round(latency_ms * 1000), LOWEST_LATENCY_US), HIGHEST_LATENCY_US)
        with self._lock:
            histogram = self._histograms.get(step)
            if histogram is None:
                histogram = HdrHistogram(LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
                self._histograms[step] = histogram
            histogram.record_value(latency_us)
            self._sums_us[step] += latency_us

    def counter(self, name: str, label: str = "") -> int:
        """Return the value of a counter, or 0 if it was never counted."""
        with self._lock:
            return self._counters[name, label]

    def latency(self, step: str) -> LatencySummary:
        """Return the latencies of ``step``; they are empty if none was recorded."""
        with self._lock:
            histogram = self._histograms.get(step)
            if histogram is None:
                return LatencySummary(0, {})
            return _summarize(histogram)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        registry = CollectorRegistry(auto_describe=False)
        registry.register(_MetricsCollector(self))
        return generate_latest(registry)

    def families(self) -> Iterator[Metric]:
        """Yield all metrics as Prometheus families."""
        with self._lock:
            counters = dict(self._counters)
            gauges = dict(self._gauges)
            sums_us = dict(self._sums_us)
            latencies = {step: _summarize(item) for step, item in self._histograms.items()}
        for name in sorted({name for name, _ in counters}):
            family = CounterMetricFamily(f"cottonlink_{name}", name, labels=["label"])
            for (counter_name, label), value in sorted(counters.items()):
                if counter_name == name:
                    family.add_metric([label], value)
            yield family
        for name, value in sorted(gauges.items()):
            yield GaugeMetricFamily(f"cottonlink_{name}", name, value=value)
        yield from _latency_families(latencies, sums_us)


class _MetricsCollector(Collector):
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        return self._metrics.families()


def _summarize(histogram: HdrHistogram) -> LatencySummary:
    values = {p: histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
    return LatencySummary(histogram.get_total_count(), values)


def _latency_families(
    latencies: dict[str, LatencySummary], sums_us: dict[str, int]
) -> Iterator[Metric]:
    summary = SummaryMetricFamily(
        "cottonlink_latency_seconds", "Duration of a step", labels=["step"]
    )
    quantiles = GaugeMetricFamily(
        "cottonlink_latency_quantile_seconds",
        "Duration of a step at a quantile since start",
        labels=["step", "quantile"],
    )
    for step, latency in sorted(latencies.items()):
        summary.add_metric([step], latency.count, sums_us[step] / 1_000_000)
        for percentile, value_ms in latency.percentiles_ms.items():
            quantiles.add_metric([step, str(percentile / 100)], value_ms / 1000)
    yield summary
    yield quantiles
