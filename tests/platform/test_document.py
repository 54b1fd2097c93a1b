"""Guards against misread configurations and accepted invalid ones."""

import copy
import json

import pytest

from shallotwharf.components.tables import document as tables_document
from shallotwharf.core import errors
from shallotwharf.platform import document

CONFIG = {
    'version': '0000000c',
    'limits': {'maxHeaderBytes': 16384},
    'baseVersion': '00000005',
    'listeners': [
        {
            'host': 'Ficu95.example',
            'rules': [
                {
                    'name': 'r-1',
                    'routeType': 'idempotent',
                    'aimS': 0.25,
                    'priority': 2,
                    'match': {'pathPrefix': '/lohu930/'},
                    'action': {
                        'weightedServices': [
                            {'service': 'a', 'weight': 90},
                            {'service': 'b', 'weight': 10},
                        ],
                        'timeoutS': 1.5,
                        'maxAttempts': 2,
                    },
                },
                {
                    'name': 'r-2',
                    'routeType': 'non_idempotent',
                    'aimS': 0.3,
                    'priority': 7,
                    'match': {'pathPrefix': '/pufi791/'},
                    'action': {
                        'service': 'a',
                        'timeoutS': 1,
                        'maxAttempts': 1,
                    },
                },
            ],
        },
    ],
    'clusters': [{'name': 'a'}, {'name': 'b'}],
}


def read(found):
    return document.read_order(json.dumps(found).encode(), 'o', 5)


def test_configuration_becomes_the_two_tables():
    order = read(CONFIG)
    tables_document.check_tables(order.tables)
    split, single = order.tables.routes
    assert (order.base, order.tables.revision) == (5, 12)
    assert (split.host, split.path_prefix) == ('ficu95.example', '/lohu930/')
    assert dict(split.shares) == {'a': 90, 'b': 10} and not split.pool
    assert (split.timeout_ms, split.retries, split.aim_ms) == (1500, 1, 250)
    assert split.idempotent and not single.idempotent
    assert (single.pool, single.retries) == ('a', 0)
    assert [row.name for row in order.tables.pools] == ['a', 'b']


def test_configuration_is_read_back_as_it_was_sent():
    body = json.dumps(CONFIG).encode()
    order = document.read_order(body, 'o', 5)
    assert document.write_document(order.document) == body


def test_digest_tells_orders_apart_whatever_the_order_of_their_keys():
    same = dict(reversed(list(CONFIG.items())))
    assert read(same).digest == read(CONFIG).digest
    assert read(CONFIG | {'limits': {}}).digest != read(CONFIG).digest


def change(path, setting):
    found = copy.deepcopy(CONFIG)
    place = found
    for step in path[:-1]:
        place = place[step]
    if setting is None:
        place.pop(path[-1])
    else:
        place[path[-1]] = setting
    return found


RULE = ('listeners', 0, 'rules', 0)
ACTION = (*RULE, 'action')


@pytest.mark.parametrize(
    ('path', 'setting'),
    [
        (('listeners', 0, 'host'), ''),
        (('version',), 'zz'),
        (('version',), None),
        (('clusters',), None),
        ((*ACTION, 'timeoutS'), 601),
        ((*ACTION, 'timeoutS'), 'soon'),
        ((*ACTION, 'timeoutS'), float('inf')),
        ((*RULE, 'aimS'), float('inf')),
        ((*ACTION, 'maxAttempts'), 0),
        ((*ACTION, 'weightedServices', 0, 'weight'), -1),
        ((*ACTION, 'weightedServices', 0, 'service'), 'unknown'),
        ((*RULE, 'routeType'), 'other'),
        ((*RULE, 'match'), None),
    ],
)
def test_invalid_configuration_is_refused(path, setting):
    with pytest.raises(errors.ProtocolError):
        read(change(path, setting))


@pytest.mark.parametrize('body', [b'', b'{', b'[]', b'\xff', b'null'])
def test_unreadable_configuration_is_refused(body):
    with pytest.raises(errors.ProtocolError):
        document.read_order(body, 'o', 5)
