"""The command line."""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import pathlib
import signal
import sys

from expression import Error
from expression import Result
import fire
import msgspec

from waxwingport.commands import check
from waxwingport.commands import example
from waxwingport.commands import publish
from waxwingport.measure import base as measure_base
from waxwingport.measure import catalogue
from waxwingport.trial import deployments
from waxwingport.trial import stage

__all__ = ['Commands', 'main']

_EXIT_REFUSED = 1
_EXIT_USAGE = 2


class Commands:
    """Rollout service for reinforcement learning."""

    def trial(
        self,
        deployment: str = 'bavaria',
        port: int = 8080,
        seconds: float | None = None,
    ) -> None:
        """Runs a whole deployment on loopback in this process.

        Args:
            deployment: bavaria or occidente.
            port: Port of the node; 0 takes a free one.
            seconds: Stops after this time; runs until a signal otherwise.
        """
        found = _find_deployment(deployment)
        logging.basicConfig(level=logging.INFO, stream=sys.stderr)
        asyncio.run(_run_trial(found, port, seconds))

    def check(
        self, settings: str | None = None, declarations: str | None = None
    ) -> None:
        """Prints each fault of settings and declarations; exit 1 on any.

        Args:
            settings: A node's settings file.
            declarations: Directory of the declarations' TOML files.
        """
        if settings is None and declarations is None:
            _fail_usage('check needs --settings or --declarations')
        found = check.find_faults(_to_path(settings), _to_path(declarations))
        if found:
            _fail('\n'.join(str(fault) for fault in found))

    def plan(
        self,
        declarations: str,
        settings: str | None = None,
        node: str | None = None,
        based_on: int | None = None,
        force: bool = False,
    ) -> None:
        """Prints what apply would change; exit 1 if it would be refused.

        Args:
            declarations: Directory of the declarations' TOML files.
            settings: Settings file that names the platform's log.
            node: URL of a node to go through instead.
            based_on: Revision that the change is based on.
            force: Allows to leave trainers or callers without a target.
        """
        options = publish.Options(pathlib.Path(declarations), based_on, force)
        _operate(publish.plan, options, settings, node)

    def apply(
        self,
        declarations: str,
        settings: str | None = None,
        node: str | None = None,
        based_on: int | None = None,
        force: bool = False,
        author: str | None = None,
    ) -> None:
        """Publishes the declarations; prints the revision in force.

        Args:
            declarations: Directory of the declarations' TOML files.
            settings: Settings file that names the platform's log.
            node: URL of a node to go through instead.
            based_on: Revision that the change is based on; what is in force
                now without it.
            force: Allows to leave trainers or callers without a target.
            author: Who changes; the user's name without it.
        """
        options = publish.Options(
            pathlib.Path(declarations), based_on, force, author
        )
        _operate(publish.apply, options, settings, node)

    def example(self, deployment: str, directory: str) -> None:
        """Writes a deployment's declarations and a node's settings.

        Args:
            deployment: bavaria or occidente.
            directory: Where to write; existing files are kept.
        """
        written = example.write_example(
            _find_deployment(deployment), pathlib.Path(directory)
        )
        match written:
            case Result(tag='ok', ok=paths):
                print('\n'.join(str(path) for path in paths))
            case Result(error=reason):
                _fail(reason)

    def measure(
        self,
        name: str | None = None,
        seconds: float = 10.0,
        seed: int = 1,
        json: bool = False,
    ) -> None:
        """Runs the named measurement, or lists them all.

        Args:
            name: The measurement; the list is printed without one.
            seconds: How long to measure.
            seed: Seed of every random choice.
            json: Prints the report as JSON.
        """
        if name is None:
            for row in catalogue.MEASUREMENTS.values():
                print(f'{row.name:24} {row.summary}')
            return
        found = catalogue.MEASUREMENTS.get(name)
        if found is None:
            known = ', '.join(sorted(catalogue.MEASUREMENTS))
            _fail_usage(f'no measurement is called {name!r}: {known}')
        options = measure_base.Options(seconds, seed)
        _print_report(asyncio.run(found.run(options)), json)


def _find_deployment(name: str) -> deployments.Deployment:
    found = deployments.DEPLOYMENTS.get(name)
    if found is None:
        known = ', '.join(sorted(deployments.DEPLOYMENTS))
        _fail_usage(f'no deployment is called {name!r}: {known}')
    return found


def _operate(
    action: Callable, options: publish.Options, settings: str, node: str
) -> None:
    """Runs ``plan`` or ``apply`` and prints what comes of it."""
    if (settings is None) == (node is None):
        _fail_usage('give either --settings or --node')
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    match asyncio.run(_reach(action, options, _to_path(settings), node)):
        case Result(tag='ok', ok=lines):
            print('\n'.join(lines))
        case Result(error=reason):
            _fail(reason)


async def _reach(
    action: Callable,
    options: publish.Options,
    settings: pathlib.Path | None,
    node: str | None,
) -> Result[list[str], str]:
    async with publish.open_channel(settings, node) as opened:
        match opened:
            case Result(tag='ok', ok=way):
                return await action(options, way)
            case Result(error=reason):
                return Error(reason)


def _to_path(text: str | None) -> pathlib.Path | None:
    return None if text is None else pathlib.Path(text)


async def _run_trial(
    deployment: deployments.Deployment, port: int, seconds: float | None
) -> None:
    running = stage.Stage(deployment, port)
    await running.start()
    print(f'ready {running.url}', flush=True)
    await _wait_for_stop(seconds)
    await running.stop()


async def _wait_for_stop(seconds: float | None) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(stopped.wait(), seconds)


def _print_report(report: measure_base.Report, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(report).decode())
        return
    for row in report.figures:
        line = f'{row.name:44} {row.value:14.4f} {row.unit}'
        if row.target is not None:
            verdict = 'met' if row.met else 'MISSED'
            line += f'  ({row.bound.value} {row.target:g}: {verdict})'
        print(line)


def _fail(message: str) -> None:
    print(message, file=sys.stderr)
    raise SystemExit(_EXIT_REFUSED)


def _fail_usage(message: str) -> None:
    print(message, file=sys.stderr)
    raise SystemExit(_EXIT_USAGE)


def main() -> None:
    """Runs the command that the arguments name."""
    fire.Fire(Commands(), name='waxwingport')
