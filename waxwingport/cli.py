"""The command line."""

import asyncio
import contextlib
import logging
import signal
import sys

import fire
import msgspec

from waxwingport.measure import base as measure_base
from waxwingport.measure import catalogue
from waxwingport.trial import deployments
from waxwingport.trial import stage

__all__ = ['Commands', 'main']

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
        found = deployments.DEPLOYMENTS.get(deployment)
        if found is None:
            known = ', '.join(sorted(deployments.DEPLOYMENTS))
            _fail_usage(f'no deployment is called {deployment!r}: {known}')
        logging.basicConfig(level=logging.INFO, stream=sys.stderr)
        asyncio.run(_run_trial(found, port, seconds))

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


def _fail_usage(message: str) -> None:
    print(message, file=sys.stderr)
    raise SystemExit(_EXIT_USAGE)


def main() -> None:
    """Runs the command that the arguments name."""
    fire.Fire(Commands(), name='waxwingport')
