"""Named counters and histograms of durations."""

from collections import abc

from hdrh import histogram

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
# Bits of a duration that a histogram of two significant digits tells apart.
_EXACT_BITS = 8
_PERCENTILES = (50, 90, 99, 99.9)  # noqa: WPS432
_PREFIX = 'shallotwharf_'


class Counters:
    """Counters by name, and durations in microseconds by name.

    A name is dotted, such as `call.refused.slots_full`.
    """

    __slots__ = ('_counts', '_times')

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        # Number of durations by name and rounded duration.
        self._times: dict[str, dict[int, int]] = {}

    def add(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def record_time(self, name: str, duration_us: int) -> None:
        """Record a duration in microseconds."""
        times = self._times.get(name)
        if times is None:
            times = {}
            self._times[name] = times
        bounded = min(max(duration_us, _LOWEST_US), _HIGHEST_US)
        # The histogram would drop the same bits, in twice the time (1.1 us).
        dropped = max(bounded.bit_length() - _EXACT_BITS, 0)
        rounded = bounded >> dropped << dropped
        times[rounded] = times.get(rounded, 0) + 1

    def read(self, name: str) -> int:
        """Return a counter; one that was never added to is 0."""
        return self._counts.get(name, 0)

    def read_all(self) -> abc.Mapping[str, int]:
        """Return a copy of all counters."""
        return dict(self._counts)

    def render(self) -> str:
        """Return all values in the Prometheus text exposition format."""
        lines: list[str] = []
        for name, count in sorted(self._counts.items()):
            lines.extend(_render_counter(name, count))
        for time_name, times in sorted(self._times.items()):
            lines.extend(_render_summary(time_name, _build_histogram(times)))
        lines.append('')
        return '\n'.join(lines)


def _build_histogram(times: abc.Mapping[int, int]) -> histogram.HdrHistogram:
    built = histogram.HdrHistogram(
        _LOWEST_US,
        _HIGHEST_US,
        _SIGNIFICANT_DIGITS,
    )
    for duration_us, count in times.items():
        built.record_value(duration_us, count)
    return built


def _render_counter(name: str, count: int) -> list[str]:
    metric = f'{_PREFIX}{name.replace(".", "_")}'
    return [f'# TYPE {metric} counter', f'{metric} {count}']


def _render_summary(name: str, times: histogram.HdrHistogram) -> list[str]:
    metric = f'{_PREFIX}{name.replace(".", "_")}_us'
    lines = [f'# TYPE {metric} summary']
    for percentile in _PERCENTILES:
        quantile = percentile / 100
        reading = times.get_value_at_percentile(percentile)
        lines.append(f'{metric}{{quantile="{quantile}"}} {reading}')
    lines.append(f'{metric}_count {times.get_total_count()}')
    return lines
