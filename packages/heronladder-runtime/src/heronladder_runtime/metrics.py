"""Metrics of a daemon: counters, gauges and HDR histograms in the Prometheus text format."""

from collections import Counter
from collections.abc import Callable, Iterable

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, SummaryMetricFamily
from prometheus_client.metrics_core import Metric

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_MICROSECONDS_PER_SECOND = 1_000_000
_QUANTILES = (0.5, 0.95, 0.99)


class LatencyHistogram:
    """Durations in seconds, stored in an HDR histogram of microseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(
            _LOWEST_MICROSECONDS, _HIGHEST_MICROSECONDS, _SIGNIFICANT_DIGITS
        )
        self._sum_seconds = 0.0
        self.count = 0

    def record(self, seconds: float) -> None:
        """Add one duration."""
        microseconds = int(seconds * _MICROSECONDS_PER_SECOND)
        self._histogram.record_value(min(max(microseconds, 1), _HIGHEST_MICROSECONDS))
        self._sum_seconds += seconds
        self.count += 1

    def quantile(self, share: float) -> float:
        """Return the duration in seconds at the quantile ``share`` (0 to 1); 0 if there is none."""
        if not self.count:
            return 0.0
        value = self._histogram.get_value_at_percentile(share * 100)
        return float(value) / _MICROSECONDS_PER_SECOND

    @property
    def total_seconds(self) -> float:
        """Sum of all durations."""
        return self._sum_seconds


class Metrics:
    """All metrics of one daemon, named without the ``heronladder_`` prefix."""

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()
        self.histograms: dict[tuple[str, str], LatencyHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def add(self, name: str, label: str = "", amount: int = 1) -> None:
        """Increase a counter, split by one label."""
        self.counters[name, label] += amount

    def observe(self, name: str, seconds: float, label: str = "") -> None:
        """Record a duration, split by one label."""
        histogram = self.histograms.get((name, label))
        if histogram is None:
            histogram = self.histograms[name, label] = LatencyHistogram()
        histogram.record(seconds)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read whenever the page is rendered."""
        self._gauges[name] = read

    def collect(self) -> Iterable[Metric]:
        """Yield all metrics as ``prometheus_client`` metric families."""
        families: dict[str, CounterMetricFamily] = {}
        for (name, label), value in sorted(self.counters.items()):
            if name not in families:
                families[name] = CounterMetricFamily(f"heronladder_{name}", name, labels=["label"])
            families[name].add_metric([label], value)
        yield from families.values()
        for name, read in sorted(self._gauges.items()):
            yield GaugeMetricFamily(f"heronladder_{name}", name, value=read())
        for (name, label), histogram in sorted(self.histograms.items()):
            yield from self._histogram_families(name, label, histogram)

    @staticmethod
    def _histogram_families(name: str, label: str, histogram: LatencyHistogram) -> Iterable[Metric]:
        suffix = f"_{label}" if label else ""
        safe = "".join(letter if letter.isalnum() else "_" for letter in name + suffix)
        summary = SummaryMetricFamily(f"heronladder_{safe}_seconds", name)
        summary.add_metric([], histogram.count, histogram.total_seconds)
        yield summary
        quantiles = GaugeMetricFamily(
            f"heronladder_{safe}_quantile_seconds", name, labels=["quantile"]
        )
        for share in _QUANTILES:
            quantiles.add_metric([str(share)], histogram.quantile(share))
        yield quantiles

    def page(self) -> bytes:
        """Return the Prometheus text page."""
        return generate_latest(self._registry)
