"""Command line of the program."""

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
from waxwingport.commands import check
from waxwingport.commands import entry_node
from waxwingport.commands import example
from waxwingport.commands import experiments
from waxwingport.commands import explanation
from waxwingport.commands import gateway_node
from waxwingport.commands import measurement
from waxwingport.commands import node_status
from waxwingport.commands import publish
from waxwingport.commands import shutdown
from waxwingport import logs
from waxwingport.measure import base as measure_base
from waxwingport.measure import catalogue
from waxwingport import settings as node_settings
from waxwingport.trial import deployments
from waxwingport.trial import local_deployment

__all__ = ['Commands', 'main']

_EXIT_REFUSED = 1
_EXIT_USAGE = 2
_PIPE_WIDTH = 100
"""Columns of a table that is not printed to a terminal."""


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
        _check(asyncio.run(entry_node.serve(configured)))

    def gateway(self, settings: str | None = None) -> None:
        """Runs a gateway node until SIGTERM, then shuts it down gracefully.

        Args:
            settings: The node's settings, a TOML file; by default the file
                that the environment variable WAXWINGPORT_NODE_FILE names.
        """
        gateway_node.run_command(settings)

    @fire.decorators.SetParseFns(wanted=str)
    def explain(self, wanted: str, *files: str) -> None:
        """Prints the log lines of several nodes about an id, in time order.

        Args:
            wanted: Id of a request, a submission or an item.
            files: Log files of the nodes.
        """
        if not files:
            _fail_usage('explain needs an id and at least one log file')
        paths = [pathlib.Path(name) for name in files]
        missing = [str(path) for path in paths if not path.is_file()]
        if missing:
            _fail(f'no such file: {", ".join(missing)}')
        for line in explanation.explain(paths, str(wanted)):
            print(line)

    def status(self, node: str, json: bool = False) -> None:
        """Prints the state of the deployment as one node sees it.

        Args:
            node: URL of the node.
            json: Prints the node's response as JSON.
        """
        response = _check(asyncio.run(node_status.fetch_status(node)))
        if json:
            print(msgspec.json.encode(response).decode())
        else:
            console.Console().print(node_status.render_status(response))

    def watch(self, node: str) -> None:
        """Shows the status of a node each second until interrupted.

        Args:
            node: URL of the node.
        """
        with contextlib.suppress(KeyboardInterrupt):
            asyncio.run(node_status.watch(node, console.Console()))

    def trial(
        self,
        deployment: str = 'bavaria',
        port: int = 8080,
        seconds: float | None = None,
        trainer: bool = False,
    ) -> None:
        """Runs a whole deployment on loopback in this process.

        Args:
            deployment: bavaria or occidente.
            port: Port of the node; 0 selects a free one.
            seconds: Stops after this time; by default at SIGTERM or SIGINT.
            trainer: Runs a stand-in trainer as well.
        """
        chosen = _find_deployment(deployment)
        logs.configure(node_settings.LogSettings())
        asyncio.run(_run_trial(chosen, port, seconds, trainer))

    @fire.decorators.SetParseFns(
        file=str, against=str, settings=str, declarations=str
    )
    def check(
        self,
        file: str | None = None,
        against: str | None = None,
        format: str = check.Format.TEXT.value,
        strict: bool = False,
        settings: str | None = None,
        declarations: str | None = None,
    ) -> None:
        """Prints what is wrong in a configuration, settings or declarations.

        For a configuration the exit code is 2 if there are errors, and 1 if
        there are warnings and --strict is given. For settings and
        declarations it is 1 on any fault.

        Args:
            file: JSON configuration that operators write on the platform.
            against: Another version of it; prints the differences from it.
            format: text or json.
            strict: Exits with 1 on warnings.
            settings: A node's settings file.
            declarations: Directory of the declarations' TOML files.
        """
        if file is not None:
            if settings is not None or declarations is not None:
                _fail_usage('check a file apart from settings or declarations')
            code = check.run_command(
                pathlib.Path(file), _to_path(against), format, strict
            )
            if code:
                raise SystemExit(code)
            return
        if settings is None and declarations is None:
            _fail_usage('check needs a file, --settings or --declarations')
        faults = check.find_faults(_to_path(settings), _to_path(declarations))
        if faults:
            _fail('\n'.join(str(fault) for fault in faults))

    def plan(
        self,
        declarations: str,
        settings: str | None = None,
        node: str | None = None,
        based_on: int | None = None,
        force: bool = False,
    ) -> None:
        """Prints what apply would change; exits 1 if it would be refused.

        Args:
            declarations: Directory of the declarations' TOML files.
            settings: Settings file that names the platform's log.
            node: URL of a node to send the change to instead.
            based_on: Revision that the change is based on; by default the
                one in force now.
            force: Allows a change that leaves trainers or callers without a
                target.
        """
        options = publish.Options(pathlib.Path(declarations), based_on, force)
        _run_publish(publish.plan, options, settings, node)

    def apply(
        self,
        declarations: str,
        settings: str | None = None,
        node: str | None = None,
        based_on: int | None = None,
        force: bool = False,
        author: str | None = None,
        reset: bool = False,
    ) -> None:
        """Publishes the declarations; prints the revision in force.

        Args:
            declarations: Directory of the declarations' TOML files.
            settings: Settings file that names the platform's log.
            node: URL of a node to send the change to instead.
            based_on: Revision that the change is based on; by default the
                one in force now.
            force: Allows a change that leaves trainers or callers without a
                target.
            author: Who makes the change; by default the user's name.
            reset: Publishes the whole configuration again after every node
                and the log have lost it; needs --settings.
        """
        options = publish.Options(
            pathlib.Path(declarations), based_on, force, author, reset
        )
        _run_publish(publish.apply, options, settings, node)

    def example(self, deployment: str, directory: str) -> None:
        """Writes a deployment's declarations and a node's settings.

        Args:
            deployment: bavaria or occidente.
            directory: Directory to write to; existing files are kept.
        """
        written = example.write_example(
            _find_deployment(deployment), pathlib.Path(directory)
        )
        print('\n'.join(str(path) for path in _check(written)))

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
            seed: Seed of the random number generators.
            json: Prints each report as a line of JSON.
            plot: Prints bar charts as well.
            page: Writes the reports to this Markdown file as well.
            commit: The commit that the page names.
        """
        if name is None:
            print('\n'.join(measurement.list_measurements()))
            return
        selected = measurement.find_measurements(name)
        if not selected:
            known = ', '.join(sorted(catalogue.MEASUREMENTS))
            _fail_usage(f'no measurement is called {name!r}; known: {known}')
        options = measure_base.Options(seconds, seed)
        reports = []
        for current in selected:
            report = asyncio.run(current.run(options))
            _print_report(report, json, plot)
            reports.append(report)
        if page is not None:
            measurement.write_page(pathlib.Path(page), reports, commit)

    def experiment(
        self,
        *patterns: str,
        policy: str = 'current',
        seeds: int = 3,
        plots: str | None = None,
    ) -> None:
        """Replays load patterns in virtual time and compares policies.

        Prints the patterns and policies without arguments.

        Args:
            patterns: Names of patterns, or paths of TOML files.
            policy: Names of policies, separated by commas.
            seeds: Number of replays of each, with other random numbers.
            plots: Existing directory to write a plot of each pattern to.
        """
        if not patterns:
            print('\n'.join(experiments.list_experiments()))
            return
        if not isinstance(seeds, int) or seeds < 1:
            _fail_usage(f'seeds is {seeds!r}; expected a whole number from 1')
        names = policy.split(',') if isinstance(policy, str) else policy
        _check(
            experiments.run(
                patterns, names, seeds, _to_path(plots), _make_console()
            )
        )


def _make_console() -> console.Console:
    """Returns a console that is wide enough for tables in a file or pipe."""
    return console.Console(width=None if sys.stdout.isatty() else _PIPE_WIDTH)


def _find_deployment(name: str) -> deployments.Deployment:
    deployment = deployments.DEPLOYMENTS.get(name)
    if deployment is None:
        known = ', '.join(sorted(deployments.DEPLOYMENTS))
        _fail_usage(f'no deployment is called {name!r}; known: {known}')
    return deployment


def _run_publish(
    action: publish.Action,
    options: publish.Options,
    settings: str | None,
    node: str | None,
) -> None:
    """Runs ``plan`` or ``apply`` and prints the lines that it returns."""
    if (settings is None) == (node is None):
        _fail_usage('give exactly one of --settings and --node')
    work = publish.run(action, options, _to_path(settings), node)
    print('\n'.join(_check(asyncio.run(work))))


def _to_path(text: str | None) -> pathlib.Path | None:
    return None if text is None else pathlib.Path(text)


async def _run_trial(
    deployment: deployments.Deployment,
    port: int,
    seconds: float | None,
    trainer: bool,
) -> None:
    running_deployment = local_deployment.LocalDeployment(deployment, port)
    await running_deployment.start()
    print(f'ready {running_deployment.url}', flush=True)
    if trainer:
        running_deployment.start_trainer()
    failed = running_deployment.node.background.failed
    cause = await shutdown.wait_for_stop(failed, seconds)
    await running_deployment.stop()
    if cause is shutdown.StopCause.FAILURE:
        _fail('stopped because of a broken invariant; see the log')


def _print_report(
    report: measure_base.Report, as_json: bool, plot: bool
) -> None:
    if as_json:
        print(msgspec.json.encode(report).decode(), flush=True)
        return
    print(f'{report.name}, seed {report.options.seed}')
    for figure in report.figures:
        print(f'  {measurement.format_figure(figure)}', flush=True)
    if plot:
        console.Console().print(measurement.plot_report(report))


def _check(outcome: Result):
    """Returns the value of an ``Ok``; prints an ``Error`` and exits with 1."""
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
    """Runs the command that the command line arguments name."""
    fire.Fire(Commands(), name='waxwingport')
