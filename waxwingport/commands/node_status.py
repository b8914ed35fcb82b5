"""``status`` and ``watch``: show the status that one node reports."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import os

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from rich import console
from rich import live
from rich import table
from tornado import httpclient

__all__ = ['TOKEN_VARIABLE', 'fetch_status', 'render_status', 'watch']

TOKEN_VARIABLE = 'WAXWINGPORT_TOKEN'  # noqa: S105
"""Environment variable that holds an operator's bearer token."""

_TIMEOUT_S = 5.0
_REFRESH_INTERVAL_S = 1.0

_COLUMNS = {
    'nodes': ('name', 'data_centre', 'state', 'revision'),
    'targets': (
        'name',
        'data_centre',
        'state',
        'weight_version',
        'in_progress',
    ),
    'trainers': (
        'name',
        'version',
        'staleness_bound',
        'idle_share',
        'staleness_p99',
    ),
    'leases': ('pool', 'data_centre', 'state', 'holder', 'fencing_number'),
    'refusals': ('reason', 'ran', 'count'),
}


async def fetch_status(url: str) -> Result[Mapping, str]:
    """Returns the status of the node at ``url``, or why the request failed."""
    token = os.environ.get(TOKEN_VARIABLE)
    headers = {'Authorization': f'Bearer {token}'} if token else {}
    request = httpclient.HTTPRequest(
        f'{url.rstrip("/")}/v1/status',
        headers=headers,
        request_timeout=_TIMEOUT_S,
        connect_timeout=_TIMEOUT_S,
    )
    try:
        response = await httpclient.AsyncHTTPClient().fetch(request)
        return Ok(msgspec.json.decode(response.body, type=dict))
    except httpclient.HTTPClientError as error:
        return Error(f'{url}: {error}')
    except (OSError, ValueError, msgspec.DecodeError) as error:
        return Error(f'{url}: {error}')


def render_status(status: Mapping) -> console.Group:
    """Returns the status as tables, without the empty ones."""
    head = f'node {status.get("node")}  revision {status.get("revision")}'
    tables = [
        _render_table(title, columns, status[title])
        for title, columns in _COLUMNS.items()
        if status.get(title)
    ]
    return console.Group(head, *tables)


async def watch(url: str, screen: console.Console) -> None:
    """Shows the current status each second until cancelled."""
    with live.Live(console=screen, auto_refresh=False, screen=True) as view:
        while True:
            match await fetch_status(url):
                case Result(tag='ok', ok=status):
                    view.update(render_status(status), refresh=True)
                case Result(error=reason):
                    view.update(f'no status: {reason}', refresh=True)
            await asyncio.sleep(_REFRESH_INTERVAL_S)


def _render_table(
    title: str, columns: Sequence[str], rows: Sequence[Mapping]
) -> table.Table:
    used_columns = [
        column for column in columns if any(column in row for row in rows)
    ]
    rendered = table.Table(title=title, title_justify='left')
    for column in used_columns:
        rendered.add_column(column.replace('_', ' '))
    for row in rows:
        rendered.add_row(
            *(_format(row.get(column)) for column in used_columns)
        )
    return rendered


def _format(value: object) -> str:
    if value is None:
        return '–'
    if isinstance(value, float):
        return f'{value:.3f}'
    return str(value)
