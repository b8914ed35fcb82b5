"""Injects random faults into nodes, links and the log."""

import asyncio
import signal

from tests.soak import checks
from tests.soak import proxy
from waxwingport.standins import partitions

MAX_DURATION_S = 2.5
"""Longest duration of one fault."""
MIN_DURATION_S = 0.3
LIMIT_DURATION_S = 6.0
"""Least time for which an engine names a limit: it is kept from 3 s on, and
counted over 4 s."""
MAX_FAILED_APPENDS = 6
CRASHING_SHARE = 0.7
"""Share of runs in which a request crashes engines from the start on."""
MAX_CRASHING_REQUESTS = 2
MAX_DOWN_TIME_S = 1.0
"""Longest time from the crash of an engine to its next start."""
MAX_REPEAT_GAP_S = 0.2
"""Longest time between two tries of a request that crashes engines."""
MAX_SERIES = 8
"""Most changes or signals of one series."""
SERIES_GAP_S = 0.3
"""Longest time between two of a series."""


class Faults:
    """Draws faults with ``rng`` and injects them; several may overlap.

    ``injected`` lists each fault's name and duration in seconds.
    """

    def __init__(
        self, soak_run, rng, engine_rng, crash_rng, version_rng, max_gap
    ):
        self._soak_run = soak_run
        self._rng = rng
        self._engine_rng = engine_rng
        """Draws the faults of engines and records, so that the others stay
        those that a seed has always drawn."""
        self._crash_rng = crash_rng
        """Draws the crashes of engines, for the same reason."""
        self._version_rng = version_rng
        """Draws the releases of engines and what comes with them."""
        self._max_gap = max_gap
        self._disturbances = soak_run.disturbances
        self.injected = []

    async def run(self, seconds):
        """Starts faults for some seconds; returns once all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            group.create_task(self._harm_engines(end))
            group.create_task(self._crash_engines(end))
            group.create_task(self._release_engines(end))
            while loop.time() < end:
                await asyncio.sleep(
                    self._rng.uniform(0.1, 1.0) * self._max_gap
                )
                group.create_task(self._inject_one())

    async def _harm_engines(self, end):
        rng = self._engine_rng
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end:
                fault = rng.choice(
                    [self._limit, self._stall, self._write_garbage]
                )
                duration = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
                self.injected.append(
                    (fault.__name__.strip('_'), round(duration, 2))
                )
                group.create_task(fault(duration))
                await asyncio.sleep(rng.uniform(0.5, 2.0) * self._max_gap)

    async def _crash_engines(self, end):
        rng = self._crash_rng
        for engine in self._soak_run.engines:
            engine.down_time = rng.uniform(MIN_DURATION_S, MAX_DOWN_TIME_S)
        async with asyncio.TaskGroup() as group:
            if rng.random() < CRASHING_SHARE:
                group.create_task(self._crash_by_body(end))
            while asyncio.get_running_loop().time() < end:
                await asyncio.sleep(rng.uniform(0.5, 3.0))
                fault = rng.choice(
                    [
                        self._crash_by_body,
                        self._end_engine,
                        self._end_engines_at_once,
                        self._end_engines_in_turn,
                    ]
                )
                self.injected.append((fault.__name__.strip('_'), 0.0))
                group.create_task(fault(end))

    async def _release_engines(self, end):
        """Releases overlap with all other faults and with each other."""
        rng = self._version_rng
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end:
                await asyncio.sleep(rng.uniform(0.5, 3.0))
                fault = rng.choice(
                    [
                        self._upgrade_in_place,
                        self._replace_by_release,
                        self._replace_by_release,
                        self._kill_all,
                    ]
                )
                self.injected.append((fault.__name__.strip('_'), 0.0))
                group.create_task(fault())

    async def _upgrade_in_place(self):
        """An engine crashes and starts under its id at another version."""
        engine = self._version_rng.choice(self._soak_run.engines)
        engine.next_software = self._soak_run.begin_release()
        await engine.crash()

    async def _replace_by_release(self):
        """Another engine takes the place of one that leaves."""
        number = self._version_rng.randrange(len(self._soak_run.engines))
        software = self._soak_run.begin_release()
        if self._soak_run.engines[number].leaving:
            return
        self._soak_run.start_leaving(number, 'draining')
        await asyncio.sleep(checks.DRAIN_TIME_S)
        self._soak_run.replace_engine(number, True, software)

    async def _kill_all(self):
        """All nodes are killed at once."""
        nodes = list(self._soak_run.nodes)
        with self._disturbances.disturb(nodes, kills=True):
            await asyncio.gather(*(node.kill() for node in nodes))
            await asyncio.sleep(self._version_rng.uniform(0.0, MIN_DURATION_S))
            await asyncio.gather(*(node.run_process() for node in nodes))

    async def _crash_by_body(self, end):
        """A request that crashes engines comes again and again."""
        rng = self._crash_rng
        if self._soak_run.crashing_requests >= MAX_CRASHING_REQUESTS:
            return
        send = self._soak_run.make_crashing_request(
            rng.choice(['/once/x', '/score/x'])
        )
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < end:
                group.create_task(send(rng.choice(self._soak_run.nodes)))
                await asyncio.sleep(rng.uniform(0.02, MAX_REPEAT_GAP_S))

    async def _end_engine(self, end):
        engine = self._crash_rng.choice(self._soak_run.engines)
        await engine.crash()

    async def _end_engines_at_once(self, end):
        engines = self._soak_run.engines
        for engine in self._crash_rng.sample(engines, len(engines) // 2 + 1):
            await engine.crash()

    async def _end_engines_in_turn(self, end):
        for engine in list(self._soak_run.engines):
            await engine.crash()
            await asyncio.sleep(self._crash_rng.uniform(0.1, MAX_DURATION_S))

    async def _limit(self, duration):
        engine = self._engine_rng.choice(self._soak_run.engines)
        if engine.limit is not None:
            return
        rate = round(self._engine_rng.uniform(1.0, 5.0), 1)
        end_limit = self._soak_run.limits.begin(engine, rate)
        await asyncio.sleep(LIMIT_DURATION_S + duration)
        end_limit()

    async def _stall(self, duration):
        engine = self._engine_rng.choice(self._soak_run.engines)
        engine.stalling = True
        await asyncio.sleep(duration)
        engine.stalling = False

    async def _write_garbage(self, duration):
        self._soak_run.write_garbage(self._engine_rng)

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
                self._silence_open_connections,
                self._change_configuration,
                self._change_configuration,
                self._signal_in_series,
                self._restart_in_series,
                self._leave,
                self._leave,
            ]
        )
        duration = self._rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        self.injected.append((fault.__name__.strip('_'), round(duration, 2)))
        await fault(duration)

    async def _kill(self, duration):
        node = self._rng.choice(self._soak_run.nodes)
        with self._disturbances.disturb([node], kills=True):
            await node.kill()
            await asyncio.sleep(duration)
            await node.run_process()

    async def _terminate(self, duration):
        node = self._rng.choice(self._soak_run.nodes)
        await self._restart(node)

    async def _restart(self, node):
        with self._disturbances.disturb([node], halts=True):
            await node.stop()
            await node.run_process()

    async def _pause(self, duration):
        node = self._rng.choice(self._soak_run.nodes)
        with self._disturbances.disturb([node], kills=True):
            if node.send_signal(signal.SIGSTOP):
                await asyncio.sleep(duration)
                node.send_signal(signal.SIGCONT)

    async def _signal_in_series(self, duration):
        for _ in range(self._rng.randint(1, MAX_SERIES)):
            self._rng.choice(self._soak_run.nodes).send_signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0.0, SERIES_GAP_S))

    async def _restart_in_series(self, duration):
        """Stops nodes one after the other, before the last one is back."""
        async with asyncio.TaskGroup() as group:
            for node in self._soak_run.nodes:
                group.create_task(self._restart(node))
                await asyncio.sleep(self._rng.uniform(0.0, duration))

    async def _change_configuration(self, duration):
        for _ in range(self._rng.randint(1, MAX_SERIES)):
            self._soak_run.change_configuration()
            await asyncio.sleep(self._rng.uniform(0.0, SERIES_GAP_S))

    async def _silence_open_connections(self, duration):
        links = self._soak_run.links
        number = self._rng.randrange(len(links))
        with self._disturbances.disturb(self._soak_run.find_cut_off(number)):
            links[number].silence_open()

    async def _leave(self, duration):
        """An engine leaves and starts anew, or another one takes its place."""
        number = self._rng.randrange(len(self._soak_run.engines))
        if self._soak_run.engines[number].leaving:
            return
        how = self._rng.choice(['unsaid', 'draining', 'late', 'removed'])
        self._soak_run.start_leaving(number, how)
        await asyncio.sleep(checks.DRAIN_TIME_S + duration)
        if how == 'late':
            self._soak_run.start_leaving(number, 'draining')
        await asyncio.sleep(duration)
        self._soak_run.replace_engine(number, self._rng.random() < 0.5)

    async def _harm_link(self, duration):
        links = self._soak_run.links
        number = self._rng.randrange(len(links))
        impairments = [
            option
            for option in proxy.Impairment
            if option is not proxy.Impairment.NONE
        ]
        with self._disturbances.disturb(self._soak_run.find_cut_off(number)):
            links[number].set_impairment(self._rng.choice(impairments))
            await asyncio.sleep(duration)
            links[number].set_impairment(proxy.Impairment.NONE)

    async def _reset_links(self, duration):
        end = asyncio.get_running_loop().time() + duration
        with self._disturbances.disturb(self._soak_run.nodes):
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
            self._soak_run.log.fail_append(self._rng.choice(failures))
        self._soak_run.record_log_trouble()
        await asyncio.sleep(duration)
        self._soak_run.log.execute_late_appends()

    async def _take_log_away(self, duration):
        with self._disturbances.disturb(self._soak_run.nodes):
            self._soak_run.log.set_down(True)
            await asyncio.sleep(duration)
            self._soak_run.log.set_down(False)
