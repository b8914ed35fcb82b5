import asyncio
import io
import json
import os
import signal
import ssl

import pytest
from rich import console
from tornado import httpclient
import trustme

from tests import ports
from waxwingport import cli
from waxwingport.commands import entry_node
from waxwingport.commands import node_status
from waxwingport import ids
from waxwingport import settings
from waxwingport.standins import platform
from waxwingport.standins import servers


@pytest.mark.parametrize(
    ('run', 'code', 'message'),
    [
        (lambda c: c.trial('atlantis'), 2, 'bavaria, occidente'),
        (lambda c: c.measure('nothing'), 2, 'no measurement is called'),
        (lambda c: c.serve('/nowhere/settings.toml'), 1, 'settings.toml'),
        (lambda c: c.status('http://127.0.0.1:1'), 1, '127.0.0.1:1'),
    ],
)
def test_faults_are_named_without_a_traceback(run, code, message, capsys):
    with pytest.raises(SystemExit) as exit_info:
        run(cli.Commands())
    assert exit_info.value.code == code
    errors = capsys.readouterr().err
    assert message in errors
    assert 'Traceback' not in errors


async def test_status_is_rendered_as_tables(running_deployment):
    status = (await node_status.fetch_status(running_deployment.url)).ok
    output = io.StringIO()
    console.Console(file=output, width=100).print(
        node_status.render_status(status)
    )
    for target in running_deployment.node.targets:
        assert target.name in output.getvalue()


@pytest.fixture
async def platform_settings():
    """Returns the settings of an empty platform, served on loopback."""
    running = [
        servers.serve_log(platform.StandInLog()),
        servers.serve_vm_list(platform.StandInVmList()),
        servers.serve_weight_store(platform.StandInWeightStore()),
    ]
    yield settings.PlatformSettings(*(server.address for server in running))
    for server in running:
        await server.stop()


def make_settings(platform_settings, port, **changes):
    """Returns the settings of a node that listens on ``port``."""
    return settings.Settings(
        node=settings.NodeSettings(
            name=ids.NodeName('node-1'),
            data_centre=ids.DataCentre('here'),
            listen=f'127.0.0.1:{port}',
            peer_listen='127.0.0.1:0',
        ),
        platform=platform_settings,
        **changes,
    )


async def test_serve_answers_over_tls_until_sigterm(
    platform_settings, tmp_path
):
    port = ports.find_port()
    authority = trustme.CA()
    issued = authority.issue_cert('127.0.0.1')
    tls_files = settings.TlsSettings(
        str(tmp_path / 'cert.pem'), str(tmp_path / 'key.pem')
    )
    issued.cert_chain_pems[0].write_to_path(tls_files.certificate)
    issued.private_key_pem.write_to_path(tls_files.key)
    node_settings = make_settings(platform_settings, port, tls=tls_files)
    serving_task = asyncio.create_task(entry_node.serve(node_settings))
    context = ssl.create_default_context()
    authority.configure_trust(context)
    request = httpclient.HTTPRequest(
        f'https://127.0.0.1:{port}/healthz', ssl_options=context
    )
    await fetch_when_up(request)
    os.kill(os.getpid(), signal.SIGTERM)
    assert (await asyncio.wait_for(serving_task, 30)).is_ok()


async def fetch_when_up(request):
    """Repeats a request until the server accepts connections."""
    client = httpclient.AsyncHTTPClient()
    for _ in range(500):
        try:
            return await client.fetch(request)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)
    raise AssertionError('the server accepted no connection')


async def test_serve_says_why_it_cannot_start(platform_settings):
    """Another server occupies the node's port."""
    other_server = servers.serve_log(platform.StandInLog())
    port = other_server.address.rpartition(':')[2]
    outcome = await entry_node.serve(make_settings(platform_settings, port))
    assert 'node.listen' in outcome.error
    await other_server.stop()


def test_measure_prints_json_and_writes_a_page(tmp_path, capsys):
    page = tmp_path / 'page.md'
    cli.Commands().measure(
        'weight-plan', seconds=0.1, json=True, page=str(page), commit='abc'
    )
    report = json.loads(capsys.readouterr().out)
    assert report['name'] == 'weight-plan'
    assert '## weight-plan' in page.read_text()
    assert '`abc`' in page.read_text()


def test_measure_plots_bars(capsys):
    cli.Commands().measure('weight-plan', seconds=0.1, plot=True)
    assert '█' in capsys.readouterr().out
