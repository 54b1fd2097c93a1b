"""Guards against a process that starts with invalid settings.

The error must name the field, or the line of a JSON syntax error.
"""

import copy
import json

import pytest

from shallotwharf.core import schema
from shallotwharf.roles.settings import files

PEER = {
    'name': 'control-1',
    'datacentre': 'dc-1',
    'region': 'west',
    'host': '127.0.0.1',
    'link_port': 7101,
    'admin_port': 7102,
}
CONTROL = {'name': 'control-1', 'data_folder': 'd', 'control': [PEER]}


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        ({'nmae': 'x'}, 'peer=nmae'),
        ({'control': []}, 'peer=control'),
        ({'control': [PEER | {'host': 'localhost'}]}, 'control[0].host'),
        ({'control': [PEER | {'link_port': 0}]}, 'control[0].link_port'),
        ({'control': [PEER | {'admin_port': '1'}]}, 'admin_port'),
        ({'control': [PEER, PEER]}, 'two control processes with name'),
        (
            {'control': [PEER, PEER | {'name': 'control-2'}]},
            'two control processes with datacentre',
        ),
        ({'name': 'other'}, 'is not in the list'),
        ({'log_level': 'LOUD'}, 'peer=log_level'),
    ],
)
def test_invalid_field_is_named(tmp_path, change, expected):
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(copy.deepcopy(CONTROL) | change))
    with pytest.raises(Exception) as caught:
        files.read_control(str(path))
    assert expected in '\n'.join(schema.format_errors(caught.value))


def test_invalid_json_is_reported_with_its_line(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text('{\n"name": }')
    with pytest.raises(Exception, match='line 2'):
        files.read_control(str(path))


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(Exception, match='No such file'):
        files.read_node(str(tmp_path / 'none.json'))


def test_dev_mode_example_is_valid():
    assert len(files.read_dev('examples/dev/settings.json').nodes) == 3
