"""Guards against a lag behind the newest version that no log line shows."""

from shallotwharf.components.delivery import const, lag
from shallotwharf.core import effects


def read_events(step):
    return [
        (effect.event, effect.fields['lag_ms'])
        for effect in step
        if isinstance(effect, effects.Report)
    ]


def test_lag_is_logged_once_and_at_its_end():
    watched = lag.Lag('lags')
    late = const.LAG_REPORT_MS
    updates = (
        # number, highest, time, lines
        (1, 1, 0, []),
        (1, 2, 100, []),
        (1, 2, 99 + late, []),
        (1, 2, 100 + late, [('lags', late)]),
        (1, 3, 200 + late, []),
        (3, 3, 300 + late, [('lags_ended', 200 + late)]),
        (3, 4, 400 + late, []),
        (4, 4, 450 + late, []),
    )
    for number, highest, now, lines in updates:
        assert read_events(watched.update(number, highest, now, {})) == lines
