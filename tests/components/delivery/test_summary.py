"""Guards against a summary that counts a version as in force too early."""

import pytest

from shallotwharf.components.delivery import const, messages, summary


def make_report(*actives, held=2, echo=1000, age_ms=0, lagging=()):
    return messages.DatacentreReport(
        'a',
        held,
        tuple(messages.ActiveCount(*active) for active in actives),
        lagging,
        age_ms,
        echo,
    )


def test_all_members_of_all_datacentres():
    reports = summary.Reports(['a'])
    assert not reports.summarize(2, 1000).everywhere
    reports.receive('a-1', make_report((2, 5), (3, 1), age_ms=20), 1010)
    summarized = reports.summarize(2, 1040)
    assert summarized.everywhere
    assert summarized.age_ms == 60
    assert summarized.datacentres[0].in_force == 6


def test_datacentre_that_never_reported_is_unknown():
    reports = summary.Reports(['a', 'b'])
    reports.receive('a-1', make_report((2, 5)), 1010)
    summarized = reports.summarize(2, 1010)
    assert not summarized.everywhere
    assert summarized.age_ms == -1


@pytest.mark.parametrize('echo', [0, 1000])
def test_late_report_counts_by_the_time_it_was_made(echo):
    reports = summary.Reports(['a'])
    now = 1000 + const.REPORT_EXPIRY_MS
    reports.receive('a-1', make_report((2, 5), echo=echo), now)
    assert not reports.summarize(2, now).everywhere


def test_earlier_report_does_not_replace_a_later_one():
    reports = summary.Reports(['a'])
    reports.receive('a-1', make_report((1, 1), (2, 4), echo=1010), 1020)
    reports.receive('a-1', make_report((2, 5), echo=1000), 1020)
    assert not reports.summarize(2, 1020).everywhere


def test_least_favourable_relay_counts_and_names_nodes():
    reports = summary.Reports(['a'])
    status = messages.NodeStatus('a-4', 1, 'digest does not match')
    reports.receive('a-1', make_report((2, 5)), 1020)
    reports.receive('a-2', make_report((1, 1), (2, 4), lagging=(status,)), 1020)
    summarized = reports.summarize(2, 1020)
    assert not summarized.everywhere
    assert summarized.datacentres[0].lacking == (status,)
    # A relay that sends no more reports stops counting after a time-out.
    later = 1021 + const.RELAY_TIMEOUT_MS
    reports.receive('a-1', make_report((2, 5), echo=later), later)
    assert reports.summarize(2, later).everywhere
