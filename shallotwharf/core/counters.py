"""Named counters and histograms of times."""

from collections import abc

from hdrh import histogram

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 90, 99, 99.9)  # noqa: WPS432
_PREFIX = 'shallotwharf_'


class Counters:
    """Counters by name, and times in microseconds by name.

    A name is dotted, such as `call.refused.slots_full`.
    """

    __slots__ = ('_counts', '_gauges', '_times')

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._times: dict[str, histogram.HdrHistogram] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a value that may fall as well as rise."""
        self._gauges[name] = value

    def record_time(self, name: str, duration_us: int) -> None:
        """Record a duration in microseconds."""
        times = self._times.get(name)
        if times is None:
            times = histogram.HdrHistogram(
                _LOWEST_US,
                _HIGHEST_US,
                _SIGNIFICANT_DIGITS,
            )
            self._times[name] = times
        times.record_value(min(max(duration_us, _LOWEST_US), _HIGHEST_US))

    def read(self, name: str) -> int:
        """Return a counter; one that was never added to is 0."""
        return self._counts.get(name, 0)

    def read_all(self) -> abc.Mapping[str, int]:
        """Return a copy of all counters."""
        return dict(self._counts)

    def read_percentile_us(self, name: str, percentile: float) -> int:
        """Return a percentile of a time in microseconds; 0 if none."""
        times = self._times.get(name)
        if times is None:
            return 0
        return int(times.get_value_at_percentile(percentile))

    def render(self) -> str:
        """Return all values in the Prometheus text exposition format."""
        lines: list[str] = []
        for name, count in sorted(self._counts.items()):
            lines.extend(_render_sample(name, 'counter', count))
        for gauge, level in sorted(self._gauges.items()):
            lines.extend(_render_sample(gauge, 'gauge', level))
        for time_name, times in sorted(self._times.items()):
            lines.extend(_render_summary(time_name, times))
        lines.append('')
        return '\n'.join(lines)


def _render_sample(name: str, kind: str, value: float) -> list[str]:
    metric = f'{_PREFIX}{name.replace(".", "_")}'
    return [f'# TYPE {metric} {kind}', f'{metric} {value}']


def _render_summary(name: str, times: histogram.HdrHistogram) -> list[str]:
    metric = f'{_PREFIX}{name.replace(".", "_")}_us'
    lines = [f'# TYPE {metric} summary']
    for percentile in _PERCENTILES:
        quantile = percentile / 100
        reading = times.get_value_at_percentile(percentile)
        lines.append(f'{metric}{{quantile="{quantile}"}} {reading}')
    lines.append(f'{metric}_count {times.get_total_count()}')
    return lines
