import asyncio
import pathlib

import pytest

from waxwingport import cli
from waxwingport.commands import channel
from waxwingport.commands import publish
from waxwingport.commands import reference
from waxwingport.configuration import files
from waxwingport.configuration import reader
from waxwingport.outside import base
from waxwingport.standins import platform
from waxwingport.trial import deployments

DOCS = pathlib.Path(__file__).parents[2] / 'docs' / 'reference'
POOL = '[[pools]]\nname = "p"\nselector = "kind = engine"\n'


@pytest.mark.parametrize('name', sorted(deployments.DEPLOYMENTS))
def test_example_passes_check(tmp_path, capsys, name):
    commands = cli.Commands()
    commands.example(name, str(tmp_path))
    commands.check(
        settings=str(tmp_path / 'settings.toml'),
        declarations=str(tmp_path),
    )
    shipped = deployments.read_declarations(deployments.DEPLOYMENTS[name])
    written = files.read_directory(tmp_path).ok
    assert written.trainers == shipped.trainers
    with pytest.raises(SystemExit, match='1'):
        commands.example(name, str(tmp_path))
    assert 'exists already' in capsys.readouterr().err


def test_check_prints_each_fault_and_exits_with_1(tmp_path, capsys):
    (tmp_path / 'a.toml').write_text(POOL + 'wight = 2\n[[pool]]\n')
    with pytest.raises(SystemExit, match='1'):
        cli.Commands().check(declarations=str(tmp_path))
    lines = capsys.readouterr().err.splitlines()
    assert [line.split(': ')[1] for line in lines] == ['pool', 'pools.p.wight']


@pytest.mark.parametrize('given', [{}, {'settings': 's', 'node': 'n'}])
def test_apply_needs_either_settings_or_node(given):
    with pytest.raises(SystemExit, match='2'):
        cli.Commands().apply('x', **given)


@pytest.mark.parametrize(
    'name, write',
    [
        ('declarations.md', reference.write_declarations_page),
        ('gateway.md', reference.write_gateway_page),
        ('settings.md', reference.write_settings_page),
    ],
)
def test_reference_page_is_current(name, write):
    """Run ``tools/write_reference.py`` to update the pages."""
    assert (DOCS / name).read_text('utf-8') == write()


@pytest.fixture
def log():
    return platform.StandInLog()


@pytest.fixture
def log_channel(log):
    vms = [base.Vm('e', base.VmKind.ENGINE, 'a', '10.0.0.1:1')]
    return channel.LogChannel(log, platform.StandInVmList(vms))


@pytest.fixture
def options(tmp_path):
    (tmp_path / 'a.toml').write_text(POOL)
    return publish.Options(tmp_path, author='anna')


def rewrite(options, text):
    (options.folder / 'a.toml').write_text(text)


async def test_plan_then_apply_by_the_log(log_channel, log, options):
    planned = (await publish.plan(options, log_channel)).ok
    assert planned == [
        '+ pools/p',
        "    selector = 'kind = engine'",
        'based on revision -1',
    ]
    assert log.appends == 0
    applied = (await publish.apply(options, log_channel)).ok
    assert applied[-1] == 'in force at revision 0'
    assert (await publish.apply(options, log_channel)).ok == [
        'no change; revision 0'
    ]
    rewrite(options, POOL + 'weight = 2\n')
    planned = (await publish.plan(options, log_channel)).ok
    assert planned[:2] == ['~ pools/p', "    weight: 'default' -> 2.0"]
    rewrite(options, '[[limits]]\nqueue_length = 7\n')
    applied = (await publish.apply(options, log_channel)).ok
    assert applied[:2] == ['+ limits/default', '    queue_length = 7']
    assert '- pools/p' in applied


async def test_conflict_names_the_earlier_change_and_its_author(
    log_channel, log, options
):
    await publish.apply(options, log_channel)
    rewrite(options, POOL + 'weight = 2\n')
    await publish.apply(options, log_channel)
    rewrite(options, POOL + 'weight = 3\n')
    late = publish.Options(options.folder, based_on=0, author='berta')
    for action in (publish.plan, publish.apply):
        reason = (await action(late, log_channel)).error
        assert 'pools/p changed at revision 1 by anna' in reason
    assert log.appends == 2


async def test_log_failure_is_reported_and_nothing_is_published(
    log_channel, log, options
):
    log.down = True
    assert 'unavailable' in (await publish.apply(options, log_channel)).error
    log.down = False
    assert (await log.read(reader.STREAM, 0)).ok.end == 0


async def test_change_without_targets_needs_force(log_channel, log, options):
    rewrite(options, POOL.replace('engine', 'enigne'))
    for action in (publish.plan, publish.apply):
        reason = (await action(options, log_channel)).error
        assert 'selects no live target' in reason
    forced = publish.Options(options.folder, force=True)
    assert (await publish.apply(forced, log_channel)).is_ok()


async def test_plan_and_apply_by_a_node(running_deployment, tmp_path):
    shipped = deployments.read_declarations(running_deployment.deployment)
    text = files.format_declarations(shipped)
    (tmp_path / 'a.toml').write_text(text)
    node_channel = channel.NodeChannel(running_deployment.url)
    options = publish.Options(tmp_path, author='anna')
    assert (await publish.plan(options, node_channel)).ok == [
        'no change against revision 0'
    ]
    (tmp_path / 'b.toml').write_text('[[limits]]\nqueue_length = 7\n')
    assert (await publish.plan(options, node_channel)).is_ok()
    applied = (await publish.apply(options, node_channel)).ok
    assert applied[-1] == 'in force at revision 1'
    found = running_deployment.node.configuration.declarations
    assert found.effective_limits.queue_length == 7
    (tmp_path / 'b.toml').write_text('[[limits]]\nqueue_length = 8\n')
    late = publish.Options(tmp_path, based_on=0, author='berta')
    reason = (await publish.apply(late, node_channel)).error
    assert 'limits/default changed at revision 1 by anna' in reason


async def test_node_answers_409_with_the_conflicting_change(
    running_deployment, post
):
    change = {
        'based_on': 0,
        'author': 'anna',
        'values': {'limits/default': {'name': 'default', 'queue_length': 9}},
    }
    url = f'{running_deployment.url}/v1/configuration'
    assert await post(url, change) == (200, {'revision': 1})
    status, answer = await post(url, change)
    assert status == 409
    assert answer['conflict'] == {
        'revision': 1,
        'author': 'anna',
        'keys': ['limits/default'],
    }


async def test_repeated_change_with_one_id_gets_the_same_answer(
    running_deployment, post
):
    change = {
        'id': 'once',
        'based_on': 0,
        'values': {'limits/default': {'name': 'default', 'queue_length': 9}},
    }
    url = f'{running_deployment.url}/v1/configuration'
    for _ in range(2):
        assert await post(url, change) == (200, {'revision': 1})


async def test_callers_without_operators_rights_are_refused(
    running_deployment, post
):
    caller = {'name': 'c', 'token_sha256': 'a' * 64}
    change = {'based_on': 0, 'values': {'callers/c': caller}}
    url = f'{running_deployment.url}/v1/configuration'
    assert (await post(url, change))[0] == 200
    change['based_on'] = 1
    status, answer = await post(url, change)
    assert (status, answer['ran']) == (401, 'no')


async def test_malformed_proposals_are_400(running_deployment, post):
    url = f'{running_deployment.url}/v1/configuration'
    bodies = [
        {},
        {'based_on': 0, 'values': {}},
        {'based_on': 0, 'values': {'pools/x': 3}},
        {'based_on': 0, 'values': {'nothing/x': None}},
        {'based_on': 99, 'values': {'pools/x': None}},
    ]
    for body in bodies:
        status, answer = await post(url, body)
        assert (status, answer['ran']) == (400, 'no'), body


async def test_reset_recovers_when_no_state_is_left(log_channel, log, options):
    reset = publish.Options(options.folder, author='anna', reset=True)
    await publish.apply(options, log_channel)
    assert 'without a reset' in (await publish.apply(reset, log_channel)).error
    log.expire_before(reader.STREAM, 1)
    fresh = channel.LogChannel(log, platform.StandInVmList())
    assert 'no snapshot' in (await publish.apply(options, fresh)).error
    log.lost_answers = 1
    applied = (await publish.apply(reset, fresh)).ok
    assert applied == ['in force at revision 1']
    other = channel.LogChannel(log, platform.StandInVmList())
    assert (await other.read()).ok.declarations.find_pool('p') is not None
    assert log.appends == 2


@pytest.mark.parametrize('url', ['nowhere', 'http://127.0.0.1:1', 'ftp://x'])
async def test_unreachable_node_is_an_error(url):
    assert (await channel.NodeChannel(url).read()).is_error()


async def test_request_is_repeated_after_a_closed_connection():
    asked = []

    async def answer(reader, writer):
        asked.append(await reader.readline())
        if len(asked) == 2:
            body = b'{"revision": 3, "values": {}}'
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            writer.write(head.encode() + body)
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    node_channel = channel.NodeChannel(f'http://127.0.0.1:{port}')
    assert (await node_channel.read()).ok.revision == 3
    server.close()
    await server.wait_closed()
