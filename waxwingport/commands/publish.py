"""``plan`` and ``apply``: show and publish changes of declarations."""

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
    """Options of an operator's command.

    ``folder`` holds the files of the desired declarations.  ``based_on`` is
    the revision that the change was made for, by default the current one.
    ``force`` allows a change that leaves trainers or callers without
    targets.  ``author`` is by default the user of the operating system.
    ``reset`` publishes all declarations where the configuration is lost.
    """

    folder: pathlib.Path
    based_on: ids.Revision | None = None
    force: bool = False
    author: str | None = None
    reset: bool = False


@contextlib.asynccontextmanager
async def open_channel(
    settings_file: pathlib.Path | None, node: str | None
) -> AsyncIterator[Result[channel.ConfigurationChannel, str]]:
    """Opens the channel through ``node``, or else through the log.

    ``node`` is a URL; ``settings_file`` names the log's address.  Yields an
    error when the settings are invalid.
    """
    if node is not None:
        yield Ok(channel.NodeChannel(node))
        return
    match settings.read_settings(settings_file):
        case Result(tag='error', error=reason):
            yield Error(reason)
            return
        case Result(ok=node_settings):
            pass
    http_client = client.HttpClient(node_settings.client)
    try:
        external_systems = assembly.connect_external_systems(
            node_settings, http_client
        )
        yield Ok(
            channel.LogChannel(external_systems.log, external_systems.vm_list)
        )
    finally:
        http_client.close()


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
    """Returns the lines to print, or the reason why ``action`` failed."""
    async with open_channel(settings_file, node) as opened:
        match opened:
            case Result(tag='ok', ok=config_channel):
                return await action(options, config_channel)
            case Result(error=reason):
                return Error(reason)


async def plan(
    options: Options, config_channel: channel.ConfigurationChannel
) -> Result[list[str], str]:
    """Returns the lines that describe what ``apply`` would do.

    Fails if ``apply`` would be refused; the message ends with the reason.
    """
    match await _compare(options, config_channel):
        case Result(tag='ok', ok=(current, change, lines)):
            pass
        case Result(error=reason):
            return Error(reason)
    if not change.values:
        return Ok([f'no change against revision {current.revision}'])
    lines.append(f'based on revision {change.based_on}')
    match await config_channel.check(change, options.force):
        case Result(tag='error', error=reason):
            return Error('\n'.join([*lines, f'would be refused: {reason}']))
    return Ok(lines)


async def apply(
    options: Options, config_channel: channel.ConfigurationChannel
) -> Result[list[str], str]:
    """Publishes the change; returns lines that name it and the new revision.

    Fails if the declarations are invalid or the change is refused.
    """
    if options.reset:
        return await _reset(options, config_channel)
    match await _compare(options, config_channel):
        case Result(tag='ok', ok=(current, change, lines)):
            pass
        case Result(error=reason):
            return Error(reason)
    if not change.values:
        return Ok([f'no change; revision {current.revision}'])
    published = await config_channel.publish(change, options.force)
    return published.map(
        lambda revision: [*lines, f'in force at revision {revision}']
    )


async def _reset(
    options: Options, config_channel: channel.ConfigurationChannel
) -> Result[list[str], str]:
    match files.read_directory(options.folder):
        case Result(tag='ok', ok=desired):
            pass
        case Result(error=faults):
            return Error('\n'.join(str(fault) for fault in faults))
    record = records.Reset(
        ids.generate_record_id(),
        _find_author(options),
        records.write_values(keys.split(desired)),
    )
    published = await config_channel.reset(record)
    return published.map(lambda revision: [f'in force at revision {revision}'])


def _find_author(options: Options) -> str:
    return options.author or getpass.getuser()


async def _compare(
    options: Options, config_channel: channel.ConfigurationChannel
) -> Result[
    tuple[channel.CurrentConfiguration, records.Change, list[str]], str
]:
    """Returns the current configuration, the change and its description."""
    match files.read_directory(options.folder):
        case Result(tag='ok', ok=desired):
            pass
        case Result(error=faults):
            return Error('\n'.join(str(fault) for fault in faults))
    match await config_channel.read():
        case Result(tag='ok', ok=current):
            pass
        case Result(error=reason):
            return Error(reason)
    return Ok(_make_change(options, current, desired))


def _make_change(
    options: Options,
    current: channel.CurrentConfiguration,
    desired: declarations.Declarations,
) -> tuple[channel.CurrentConfiguration, records.Change, list[str]]:
    values = difference.compare(current.declarations, desired)
    based_on = options.based_on
    change = records.make_change(
        ids.generate_record_id(),
        _find_author(options),
        current.revision if based_on is None else based_on,
        values,
    )
    lines = difference.describe(current.declarations, values)
    return current, change, lines
