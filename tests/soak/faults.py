"""Seeded faults: what is done to which node, link or to the log."""

import asyncio
import signal

from tests.soak import proxy
from waxwingport.standins import partitions

LONGEST = 2.5
"""Seconds of one fault."""
SHORTEST = 0.3
LOST_ANSWERS = 6


class Faults:
    """Draws faults and does them; they come in series and overlap."""

    def __init__(self, world, rng):
        self._world = world
        self._rng = rng
        self.done = []

    async def run(self, seconds):
        """Starts faults for some seconds; returns once all are healed."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                await asyncio.sleep(self._rng.uniform(0.1, 1.0))
                group.create_task(self._do_one())

    async def _do_one(self):
        kind = self._rng.choice(
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
        duration = self._rng.uniform(SHORTEST, LONGEST)
        self.done.append((kind.__name__.strip('_'), round(duration, 2)))
        await kind(duration)

    async def _kill(self, duration):
        found = self._rng.choice(self._world.nodes)
        await found.kill()
        await asyncio.sleep(duration)
        await found.launch()

    async def _terminate(self, duration):
        found = self._rng.choice(self._world.nodes)
        await found.stop()
        await found.launch()

    async def _pause(self, duration):
        found = self._rng.choice(self._world.nodes)
        if found.send_signal(signal.SIGSTOP):
            await asyncio.sleep(duration)
            found.send_signal(signal.SIGCONT)

    async def _harm_link(self, duration):
        link = self._rng.choice(self._world.links)
        harms = [row for row in proxy.Harm if row is not proxy.Harm.NONE]
        link.harm_with(self._rng.choice(harms))
        await asyncio.sleep(duration)
        link.harm_with(proxy.Harm.NONE)

    async def _reset_links(self, duration):
        end = asyncio.get_running_loop().time() + duration
        while asyncio.get_running_loop().time() < end:
            self._rng.choice(self._world.links).reset()
            await asyncio.sleep(0.1)

    async def _lose_answers(self, duration):
        kinds = [
            partitions.LogFailure.LOST,
            partitions.LogFailure.SILENT,
            partitions.LogFailure.BUSY,
            partitions.LogFailure.LATE,
            partitions.LogFailure.NONE,
        ]
        for _ in range(self._rng.randint(1, LOST_ANSWERS)):
            self._world.log.failures.append(self._rng.choice(kinds))
        await asyncio.sleep(duration)
        self._world.log.execute_late_appends()

    async def _take_log_away(self, duration):
        self._world.log.down = True
        await asyncio.sleep(duration)
        self._world.log.down = False
