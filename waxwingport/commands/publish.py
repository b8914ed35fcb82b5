"""``plan`` and ``apply``: compare declarations and publish the difference."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import getpass
import pathlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import assembly
from waxwingport.commands import channel
from waxwingport.configuration import declarations
from waxwingport.configuration import difference
from waxwingport.configuration import files
from waxwingport.configuration import keys
from waxwingport.configuration import records
from waxwingport.http import client
from waxwingport import ids
from waxwingport import settings

__all__ = ['Action', 'Options', 'apply', 'open_channel', 'plan', 'run']


class Options(msgspec.Struct, frozen=True):
    """What an operator asked for."""

    folder: pathlib.Path
    based_on: ids.Revision | None = None
    force: bool = False
    author: str | None = None
    reset: bool = False


@contextlib.asynccontextmanager
async def open_channel(
    settings_file: pathlib.Path | None, node: str | None
) -> AsyncIterator[Result[channel.ConfigurationChannel, str]]:
    """Gives the channel to a node, or to the log that settings name."""
    if node is not None:
        yield Ok(channel.NodeChannel(node))
        return
    match settings.read_settings(settings_file):
        case Result(tag='error', error=reason):
            yield Error(reason)
            return
        case Result(ok=found):
            pass
    http = client.HttpClient(found.client)
    try:
        external = assembly.connect_external_systems(found, http)
        yield Ok(channel.LogChannel(external.log, external.vm_list))
    finally:
        http.close()


Action = Callable[
    [Options, channel.ConfigurationChannel], Awaitable[Result[list[str], str]]
]
"""``plan`` or ``apply``."""


async def run(
    action: Action,
    options: Options,
    settings_file: pathlib.Path | None,
    node: str | None,
) -> Result[list[str], str]:
    """Returns the lines that ``action`` prints, or why it was refused."""
    async with open_channel(settings_file, node) as opened:
        match opened:
            case Result(tag='ok', ok=way):
                return await action(options, way)
            case Result(error=reason):
                return Error(reason)


async def plan(
    options: Options, way: channel.ConfigurationChannel
) -> Result[list[str], str]:
    """Returns the lines that describe what ``apply`` would do.

    Fails if ``apply`` would be refused; the message ends with the reason.
    """
    match await _compare(options, way):
        case Result(tag='ok', ok=(current, change, lines)):
            pass
        case Result(error=reason):
            return Error(reason)
    if not change.values:
        return Ok([f'no change against revision {current.revision}'])
    lines.append(f'based on revision {change.based_on}')
    match await way.check(change, options.force):
        case Result(tag='error', error=reason):
            return Error('\n'.join([*lines, f'would be refused: {reason}']))
    return Ok(lines)


async def apply(
    options: Options, way: channel.ConfigurationChannel
) -> Result[list[str], str]:
    """Publishes the difference; returns lines with the revision in force."""
    if options.reset:
        return await _reset(options, way)
    match await _compare(options, way):
        case Result(tag='ok', ok=(current, change, lines)):
            pass
        case Result(error=reason):
            return Error(reason)
    if not change.values:
        return Ok([f'no change; revision {current.revision}'])
    published = await way.publish(change, options.force)
    return published.map(
        lambda revision: [*lines, f'in force at revision {revision}']
    )


async def _reset(
    options: Options, way: channel.ConfigurationChannel
) -> Result[list[str], str]:
    match files.read_directory(options.folder):
        case Result(tag='ok', ok=wanted):
            pass
        case Result(error=found):
            return Error('\n'.join(str(fault) for fault in found))
    record = records.Reset(
        ids.generate_record_id(),
        _name_author(options),
        records.write_values(keys.split(wanted)),
    )
    published = await way.reset(record)
    return published.map(lambda revision: [f'in force at revision {revision}'])


def _name_author(options: Options) -> str:
    return options.author or getpass.getuser()


async def _compare(
    options: Options, way: channel.ConfigurationChannel
) -> Result[
    tuple[channel.CurrentConfiguration, records.Change, list[str]], str
]:
    """Returns what is in force, the change and its description."""
    match files.read_directory(options.folder):
        case Result(tag='ok', ok=wanted):
            pass
        case Result(error=found):
            return Error('\n'.join(str(fault) for fault in found))
    match await way.read():
        case Result(tag='ok', ok=current):
            pass
        case Result(error=reason):
            return Error(reason)
    return Ok(_make_change(options, current, wanted))


def _make_change(
    options: Options,
    current: channel.CurrentConfiguration,
    wanted: declarations.Declarations,
) -> tuple[channel.CurrentConfiguration, records.Change, list[str]]:
    values = difference.compare(current.declarations, wanted)
    based_on = options.based_on
    change = records.make_change(
        ids.generate_record_id(),
        _name_author(options),
        current.revision if based_on is None else based_on,
        values,
    )
    lines = difference.describe(current.declarations, values)
    return current, change, lines
