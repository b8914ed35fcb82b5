"""Injects random faults into nodes, links and the log."""

import asyncio
import signal

from tests.soak import proxy
from waxwingport.standins import partitions

MAX_DURATION_S = 2.5
"""Longest duration of one fault."""
MIN_DURATION_S = 0.3
MAX_FAILED_APPENDS = 6


class Faults:
    """Draws faults with ``rng`` and injects them; several may overlap.

    ``injected`` lists each fault's name and duration in seconds.
    """

    def __init__(self, soak_run, rng):
        self._soak_run = soak_run
        self._rng = rng
        self.injected = []

    async def run(self, seconds):
        """Starts faults for some seconds; returns once all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                await asyncio.sleep(self._rng.uniform(0.1, 1.0))
                group.create_task(self._inject_one())

    async def _inject_one(self):
        fault = self._rng.choice(
            [
                self._kill,
                self._terminate,
                self._pause,
                self._harm_link,
                self._harm_link,
                self._reset_links,
                self._lose_answers,
                self._take_log_away,
            ]
        )
        duration = self._rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        self.injected.append((fault.__name__.strip('_'), round(duration, 2)))
        await fault(duration)

    async def _kill(self, duration):
        node = self._rng.choice(self._soak_run.nodes)
        await node.kill()
        await asyncio.sleep(duration)
        await node.launch()

    async def _terminate(self, duration):
        node = self._rng.choice(self._soak_run.nodes)
        await node.stop()
        await node.launch()

    async def _pause(self, duration):
        node = self._rng.choice(self._soak_run.nodes)
        if node.send_signal(signal.SIGSTOP):
            await asyncio.sleep(duration)
            node.send_signal(signal.SIGCONT)

    async def _harm_link(self, duration):
        link = self._rng.choice(self._soak_run.links)
        impairments = [
            option
            for option in proxy.Impairment
            if option is not proxy.Impairment.NONE
        ]
        link.set_impairment(self._rng.choice(impairments))
        await asyncio.sleep(duration)
        link.set_impairment(proxy.Impairment.NONE)

    async def _reset_links(self, duration):
        end = asyncio.get_running_loop().time() + duration
        while asyncio.get_running_loop().time() < end:
            self._rng.choice(self._soak_run.links).reset()
            await asyncio.sleep(0.1)

    async def _lose_answers(self, duration):
        failures = [
            partitions.LogFailure.LOST,
            partitions.LogFailure.SILENT,
            partitions.LogFailure.BUSY,
            partitions.LogFailure.LATE,
            partitions.LogFailure.NONE,
        ]
        for _ in range(self._rng.randint(1, MAX_FAILED_APPENDS)):
            self._soak_run.log.failures.append(self._rng.choice(failures))
        await asyncio.sleep(duration)
        self._soak_run.log.execute_late_appends()

    async def _take_log_away(self, duration):
        self._soak_run.log.down = True
        await asyncio.sleep(duration)
        self._soak_run.log.down = False
