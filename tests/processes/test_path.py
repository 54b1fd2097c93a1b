"""Guards against faults between an edit and a call in real processes."""

import json
import threading

import pytest

from measurements import site as processes

ROUTES = [{'name': 'menu', 'path_prefix': '/menu', 'pool': 'menu'}]
POOLS = [{'name': 'menu', 'service': 'menu', 'weights': {'v1': 100}}]
NODES = {'n1': 'dc-0', 'n2': 'dc-0', 'n3': 'dc-1', 'n4': 'dc-1'}


@pytest.fixture
def site(tmp_path):
    started = processes.Site(tmp_path, NODES)
    started.start_all()
    processes.wait_until(started.find_leader)
    yield started
    started.stop_all()


def read_response(site, node):
    status, body = site.call(node, '/menu')
    return (status, json.loads(body).get('version'))


def check_explanation(site):
    """Check the command against the node that has no upstream itself."""
    address = f'{processes.HOST}:{site.nodes["n2"]["admin_port"]}'
    asked = ('explain', '/menu', '--node', address, '--deadline-ms', '400')
    status, printed, errors = processes.run_program(*asked, '--json')
    assert status == 0, errors
    document = json.loads(printed)
    assert document['verdict']['text'] == 'sent to n1'
    assert (document['route'], document['deadline_ms']) == ('menu', 400)
    (branch,) = document['branches']
    (candidate,) = branch['candidates']
    assert (candidate['node'], candidate['reason']) == ('n1', 'chosen')
    status, printed, errors = processes.run_program(*asked)
    lines = printed.splitlines()
    assert (status, lines[:2]) == (0, ['sent to n1', 'route: menu']), errors
    assert 'pool menu, version v1, share 100%: sent to n1' in lines
    assert lines[-1].split()[0] == 'n1' and lines[-1].endswith('chosen')
    unmatched = processes.run_program('explain', '/none', '--node', address)
    assert unmatched[1].startswith('refused 404 unknown_route\nroute: none\n')
    for option in (('--tenant', 'none'), ('--deadline-ms', '-1')):
        assert processes.run_program(*asked, *option)[0] == 2


def test_accepted_tables_serve_calls_and_a_second_version_takes_over(site):
    site.start_sample('n1', 'menu', 'v1')
    tables = site.write_tables(ROUTES, POOLS)
    status, printed, errors = site.run_command('apply', *tables, '--wait')
    assert (status, printed) == (0, 'version 1 in force everywhere\n'), errors
    # Through the upstream's node and through another node of its data centre.
    for node in ('n1', 'n2'):
        processes.wait_until(lambda: read_response(site, node) == (200, 'v1'))

    check_explanation(site)
    responses = []
    stopping = threading.Event()

    def call_steadily():
        while not stopping.is_set():
            responses.append(read_response(site, 'n2'))

    caller = threading.Thread(target=call_steadily)
    caller.start()
    site.start_sample('n2', 'menu', 'v2')
    processes.wait_until(
        lambda: (
            b'v2'
            in processes.request(
                site.nodes['n1']['admin_port'], '/v1/explain?path=/menu'
            )[1]
        )
    )
    changed = [POOLS[0] | {'weights': {'v2': 100}}]
    tables = site.write_tables(ROUTES, changed)
    status, printed, errors = site.run_command('apply', *tables, '--wait')
    assert status == 0, errors
    seen = len(responses)
    processes.wait_until(lambda: len(responses) > seen + 20)
    stopping.set()
    caller.join()
    assert {status for status, _ in responses} == {200}
    assert responses[-1] == (200, 'v2')


def test_edit_survives_the_loss_of_the_leader(site):
    tables = site.write_tables(ROUTES, POOLS)
    status, _, errors = site.run_command('apply', *tables, '--wait')
    assert status == 0, errors
    leader = site.find_leader()
    site.stop(leader, processes.signal.SIGKILL)
    processes.wait_until(lambda: site.find_leader() not in {'', leader})
    processes.wait_until(lambda: site.run_command('status', '--json')[0] == 0)
    printed = json.loads(site.run_command('status', '--json')[1])
    assert printed['number'] == 1
    changed = site.write_tables(ROUTES, [POOLS[0] | {'slow_ms': 7}])
    status, _, errors = site.run_command('apply', *changed, '--wait')
    assert status == 0, errors
    site.start_control(leader)
    admin = [p['admin_port'] for p in site.control if p['name'] == leader]
    processes.wait_until(
        lambda: b'"number": 2' in processes.request(admin[0], '/health')[1]
    )


def test_invalid_input_prints_one_error_line_and_changes_nothing(site):
    tables = site.write_tables(ROUTES, [])
    status, printed, errors = site.run_command('apply', *tables)
    assert status == 2 and printed == ''
    assert errors == (
        'error: step=tables.check peer=routes.menu.pool: '
        'pool menu is not in the table of pools\n'
    )
    port = site.control[0]['admin_port']
    for body, expected in (
        (b'{', 400),
        (b'{}', 400),
        (b'[' * 100_000, 400),
        (b'x' * 9_000_000, 413),
    ):
        status, _ = processes.request(
            port, '/v1/edits', method='POST', body=body
        )
        assert status == expected
    assert json.loads(site.run_command('status', '--json')[1])['number'] == 0


def test_two_equal_edits_have_one_winner(site):
    tables = site.write_tables(ROUTES, POOLS)
    base = ['--base', '0']
    assert site.run_command('apply', *tables, *base)[0] == 0
    status, _, errors = site.run_command('apply', *tables, *base)
    assert status == 3
    assert 'reason=conflict current=1' in errors


def test_process_that_cannot_start_reports_the_reason(site, tmp_path):
    busy = dict(site.nodes['n1'], name='n9')
    (tmp_path / 'busy.json').write_text(json.dumps(busy))
    status, _, errors = processes.run_program(
        'check', str(tmp_path / 'none.json')
    )
    assert status == 2 and 'No such file' in errors
    site._start('busy', 'node', '--settings', str(tmp_path / 'busy.json'))
    assert site.running.pop('busy').wait(timeout=20) == 1
    assert 'cannot listen: Address already in use' in site.read_log('busy')
    (tmp_path / 'file').write_text('')
    control = json.loads((tmp_path / 'control-0.json').read_text())
    control['data_folder'] = str(tmp_path / 'file' / 'data')
    (tmp_path / 'folder.json').write_text(json.dumps(control))
    site._start(
        'folder', 'control', '--settings', str(tmp_path / 'folder.json')
    )
    assert site.running.pop('folder').wait(timeout=20) == 1
    assert 'step=' in site.read_log('folder')
    assert 'Traceback' not in site.read_log('folder')
