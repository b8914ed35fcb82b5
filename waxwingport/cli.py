"""The command line."""

import asyncio
import contextlib
import pathlib
import sys
from typing import NoReturn

from expression import Result
import fire
import msgspec
from rich import console

import waxwingport
from waxwingport.commands import measuring
from waxwingport.commands import observing
from waxwingport.commands import serving
from waxwingport import logs
from waxwingport.measure import base as measure_base
from waxwingport.measure import catalogue
from waxwingport import settings as node_settings
from waxwingport.trial import deployments
from waxwingport.trial import stage

__all__ = ['Commands', 'main']

_EXIT_REFUSED = 1
_EXIT_USAGE = 2


class Commands:
    """Rollout service for reinforcement learning.

    Exit codes: 0 done, 1 refused or invalid, 2 wrong usage.
    """

    def version(self) -> None:
        """Prints the version of this program."""
        print(waxwingport.__version__)

    def serve(self, settings: str) -> None:
        """Runs an entry node until SIGTERM, then shuts it down gracefully.

        Args:
            settings: The node's settings, a TOML file.
        """
        match node_settings.read_settings(pathlib.Path(settings)):
            case Result(tag='ok', ok=configured):
                pass
            case Result(error=reason):
                _fail(reason)
        logs.configure(configured.logging)
        _check(asyncio.run(serving.serve(configured)))

    def status(self, node: str, json: bool = False) -> None:
        """Prints what holds, as one node sees it.

        Args:
            node: URL of the node.
            json: Prints the node's answer as JSON.
        """
        found = _check(asyncio.run(observing.fetch_status(node)))
        if json:
            print(msgspec.json.encode(found).decode())
        else:
            console.Console().print(observing.render_status(found))

    def watch(self, node: str) -> None:
        """Shows what holds, anew each second, until interrupted.

        Args:
            node: URL of the node.
        """
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(observing.watch(node, console.Console()))

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
        found = deployments.DEPLOYMENTS.get(deployment)
        if found is None:
            known = ', '.join(sorted(deployments.DEPLOYMENTS))
            _fail_usage(f'no deployment is called {deployment!r}: {known}')
        logs.configure(node_settings.LogSettings())
        asyncio.run(_run_trial(found, port, seconds))

    def measure(
        self,
        name: str | None = None,
        seconds: float = 10.0,
        seed: int = 1,
        json: bool = False,
        plot: bool = False,
        page: str | None = None,
        commit: str = 'unknown',
    ) -> None:
        """Runs the named measurement, or lists them all.

        Args:
            name: The measurement, or "all"; the list is printed without one.
            seconds: How long to measure.
            seed: Seed of every random choice.
            json: Prints each report as a line of JSON.
            plot: Prints bar charts as well.
            page: Writes the reports to this Markdown file as well.
            commit: The commit that the page names.
        """
        if name is None:
            print('\n'.join(measuring.list_measurements()))
            return
        found = measuring.find_measurements(name)
        if not found:
            known = ', '.join(sorted(catalogue.MEASUREMENTS))
            _fail_usage(f'no measurement is called {name!r}: {known}')
        options = measure_base.Options(seconds, seed)
        reports = []
        for row in found:
            report = asyncio.run(row.run(options))
            _print_report(report, json, plot)
            reports.append(report)
        if page is not None:
            measuring.write_page(pathlib.Path(page), reports, commit)


async def _run_trial(
    deployment: deployments.Deployment, port: int, seconds: float | None
) -> None:
    running = stage.Stage(deployment, port)
    await running.start()
    print(f'ready {running.url}', flush=True)
    await serving.wait_for_signal(seconds)
    await running.stop()


def _print_report(
    report: measure_base.Report, as_json: bool, plot: bool
) -> None:
    if as_json:
        print(msgspec.json.encode(report).decode(), flush=True)
        return
    print(f'{report.name}, seed {report.options.seed}')
    for figure in report.figures:
        print(f'  {measuring.format_figure(figure)}', flush=True)
    if plot:
        console.Console().print(measuring.plot_report(report))


def _check(outcome: Result):
    """Returns the value of ``outcome``; prints an error and exits with 1."""
    if outcome.is_error():
        _fail(outcome.error)
    return outcome.ok


def _fail(message: object) -> NoReturn:
    print(message, file=sys.stderr)
    raise SystemExit(_EXIT_REFUSED)


def _fail_usage(message: str) -> NoReturn:
    print(message, file=sys.stderr)
    raise SystemExit(_EXIT_USAGE)


def main() -> None:
    """Runs the command that the arguments name."""
    fire.Fire(Commands(), name='waxwingport')
