"""What callers and engines saw, checked against the guarantees."""

import asyncio
import collections
import contextlib
import math

APPLY_TIME_S = 2.0
"""Time after its acknowledgement within which a configuration is in force."""
DRAIN_TIME_S = 2.0
"""Time after an answer with the news of a leaving engine from which on the
node that forwarded it sends no request there."""
TURN_TIME_S = 3.0
"""Least time between the orders of two holders to one engine."""
THAW_TIME_S = 0.3
"""Time after a fault of its sender in which an order does not count."""
LIMIT_WINDOW_S = 4.0
"""Time over which the requests to a limited engine are counted."""
LIMIT_SETTLING_S = 3.0
"""Time after an engine first named its limit from which on it is kept."""
TOLD_TIME_S = 0.5
"""Time after an answer with the limit from which on the node that forwarded
it is counted."""
CRASH_SETTLING_S = 3.0
"""Time after a request's third crash from which on it is stopped."""
MAX_LATE_RETRIES = 3
"""Requests that may reach engines after that."""
FAULT_WINDOW_S = 3.0
"""Time after a fault from which on a node has to meet the times above."""


def read_clock():
    return asyncio.get_running_loop().time()


class Disturbances:
    """Times of the faults that excuse a node.

    ``halts`` are kills, restarts and pauses of its process, ``kills`` those
    without an orderly end; other faults cut it off from the log.
    """

    def __init__(self):
        self._running = collections.Counter()
        self._last = {}
        self._spans = collections.defaultdict(list)
        self._halts = collections.defaultdict(list)
        self._kills = collections.defaultdict(list)

    @contextlib.contextmanager
    def disturb(self, nodes, halts=False, kills=False):
        """Counts the nodes as disturbed until the context ends."""
        started_at = read_clock()
        for node in nodes:
            self._running[node.name] += 1
        try:
            yield
        finally:
            for node in nodes:
                self._running[node.name] -= 1
                self._spans[node.name].append((started_at, read_clock()))
                self._last[node.name] = read_clock()
                if halts or kills:
                    self._halts[node.name].append((started_at, read_clock()))
                if kills:
                    self._kills[node.name].append((started_at, read_clock()))

    def is_calm(self, node, since):
        """Returns whether the node was not disturbed from ``since`` on."""
        running = self._running[node.name]
        return not running and self._last.get(node.name, -math.inf) < since

    def was_disturbed(self, node, first, last):
        """Returns whether any fault of the node overlaps two times."""
        return self._running[node.name] > 0 or _overlaps(
            self._spans[node.name], first, last
        )

    def was_halted(self, node, first, last):
        """Returns whether the process was halted between two times."""
        return _overlaps(self._halts[node.name], first, last)

    def was_killed(self, node, first, last):
        """Returns whether it was killed or paused between two times."""
        return _overlaps(self._kills[node.name], first, last)


def _overlaps(spans, first, last):
    return any(
        started_at <= last and first <= ended_at
        for started_at, ended_at in spans
    )


class ConfigurationCheck:
    """Checks that nodes apply each version in time and never go back.

    Each version adds one route, and some remove an older one.
    """

    def __init__(self, disturbances, violations):
        self._disturbances = disturbances
        self._violations = violations
        self.version = 1
        self.added_at = {}
        self.removed_at = {}
        self._known = {}
        """Versions whose route a start of a node has forwarded."""

    def begin_version(self, rng):
        """Begins the next version; returns the numbers of its routes."""
        self.version += 1
        self.added_at[self.version] = read_clock()
        present = self.added_at.keys() - self.removed_at.keys()
        if len(present) > 3 and rng.random() < 0.3:
            removed = rng.choice(sorted(present - {self.version}))
            self.removed_at[removed] = read_clock()
        return sorted(self.added_at.keys() - self.removed_at.keys())

    def record(self, node, start, number, sent_at, status):
        """Checks the status of a request for the route ``number``."""
        if status == 0 or node.starts != start:
            return
        calm = self._disturbances.is_calm(node, sent_at - FAULT_WINDOW_S)
        due = calm and node.running
        removed_at = self.removed_at.get(number, math.inf)
        known = self._known.setdefault((node.name, start), set())
        if status == 404 and removed_at == math.inf:
            if due and sent_at > self.added_at[number] + APPLY_TIME_S:
                self._violations.append(
                    f'{node.name} does not know route {number}, '
                    f'{sent_at - self.added_at[number]:.2f} s old'
                )
            if number in known:
                self._violations.append(f'{node.name} lost route {number}')
        if status == 200:
            known.add(number)
            if due and sent_at > removed_at + APPLY_TIME_S:
                self._violations.append(
                    f'{node.name} forwards removed route {number}'
                )


class CrashCheck:
    """Checks that requests which crash engines are stopped, and no others."""

    def __init__(self, disturbances, violations):
        self._disturbances = disturbances
        self._violations = violations
        self._sent = {}
        """Body and node of each request that crashes engines, by its id."""
        self.refused = 0
        """Answers that refused such a request."""
        self.log_troubles = []
        """First and last time of lost or refused appends."""

    def record_sent(self, node, name, body):
        """Records that a caller sends a request that crashes engines."""
        self._sent[name] = body, node

    def record_answer(self, name, body):
        """Checks that only such requests are refused for crashes."""
        if b'crashes-targets' not in body:
            return
        if name in self._sent:
            self.refused += 1
        else:
            self._violations.append(f'{name} was refused for crashes')

    def check(self, engines):
        """Checks what reached engines later than the third crash."""
        for wanted in {body for body, _ in self._sent.values()}:
            crashes = sorted(
                at
                for engine in engines
                for at, body in engine.crashes
                if body == wanted
            )
            if len(crashes) < 3:
                continue
            since = crashes[2] + CRASH_SETTLING_S
            late = {
                name
                for engine in engines
                for at, _, name in engine.arrivals
                if at > since
                and name in self._sent
                and self._sent[name][0] == wanted
                and self._is_in_touch(self._sent[name][1], at)
            }
            if len(late) > MAX_LATE_RETRIES:
                self._violations.append(
                    f'{wanted} crashed {len(crashes)} engines, '
                    f'{sorted(late)} were sent too late'
                )

    def _is_in_touch(self, node, at):
        since = at - FAULT_WINDOW_S
        return not (
            self._disturbances.was_disturbed(node, since, at)
            or _overlaps(self.log_troubles, since, at)
        )


class LeavingCheck:
    """Checks that nodes send nothing new to an engine that leaves."""

    def __init__(self, disturbances, violations):
        self._disturbances = disturbances
        self._violations = violations
        self.told_at = {}
        """Time of the first such answer, by node and start of the engine."""
        self._sent = {}
        """Node and time of each caller's request."""

    def record_sent(self, node, name):
        """Records that a caller sends a request to a node."""
        self._sent[name] = node, read_clock()

    def record_answer(self, node, headers):
        """Records the headers of an answer that a node forwarded."""
        fields = dict(headers)
        if fields.get('Server-Leaving') == '1':
            key = node.name, fields['Engine-Start']
            self.told_at.setdefault(key, read_clock())

    def check(self, nodes, engines):
        """Checks all requests that the engines saw."""
        for engine in engines:
            for arrived_at, start_name, name in engine.arrivals:
                if name in self._sent:
                    node, sent_at = self._sent[name]
                    wrong = self._is_wrong(
                        node, start_name, sent_at, arrived_at
                    )
                else:
                    # Any node may have sent an item or a reward call.
                    wrong = all(
                        self._is_wrong(
                            node, start_name, arrived_at, arrived_at
                        )
                        for node in nodes
                    )
                if wrong:
                    self._violations.append(
                        f'{name} reached {start_name}, which leaves'
                    )

    def _is_wrong(self, node, start_name, sent_at, arrived_at):
        told_at = self.told_at.get((node.name, start_name), math.inf)
        return (
            sent_at > told_at + DRAIN_TIME_S
            and not self._disturbances.was_halted(node, told_at, arrived_at)
        )


class LimitCheck:
    """Checks that nodes together keep to the limits that engines name.

    Counts the requests that an engine saw from nodes that had forwarded its
    limit and met no fault since.
    """

    def __init__(self, disturbances, violations):
        self._disturbances = disturbances
        self._violations = violations
        self.spans = []
        """Start of an engine, its limit, first and last time with it."""
        self._sent = {}
        self._told_at = collections.defaultdict(list)

    def begin(self, engine, rate):
        """Makes an engine name a limit; returns a function that ends it."""
        engine.limit = str(rate)
        start_name = engine.start_name
        began_at = read_clock()

        def end():
            if engine.start_name == start_name:
                engine.limit = None
            self.spans.append((start_name, rate, began_at, read_clock()))

        return end

    def record_sent(self, node, name):
        """Records that a caller sends a request to a node."""
        self._sent[name] = node

    def record_answer(self, node, headers):
        """Records the headers of an answer that a node forwarded."""
        fields = dict(headers)
        if 'Server-Limit' in fields:
            key = node.name, fields['Engine-Start']
            self._told_at[key].append(read_clock())

    def check(self, nodes, engines):
        """Checks all requests that the engines saw."""
        for start_name, rate, began_at, ended_at in self.spans:
            arrivals = sorted(
                at
                for engine in engines
                for at, at_start, name in engine.arrivals
                if at_start == start_name
                and began_at + LIMIT_SETTLING_S <= at <= ended_at
                and self._counts(nodes, start_name, name, began_at, at)
            )
            busiest = max(
                (
                    sum(
                        first <= at < first + LIMIT_WINDOW_S for at in arrivals
                    )
                    for first in arrivals
                ),
                default=0,
            )
            if busiest > 1.5 * LIMIT_WINDOW_S * rate + 5:
                self._violations.append(
                    f'{start_name} names {rate} a second and got {busiest} '
                    f'requests in {LIMIT_WINDOW_S:g} s'
                )

    def _counts(self, nodes, start_name, name, began_at, arrived_at):
        """Returns whether the nodes that may have sent it had to wait.

        Any node may have sent an item, a reward call or an order.
        """
        senders = [self._sent[name]] if name in self._sent else nodes
        return all(
            self._is_bound(node, start_name, began_at, arrived_at)
            for node in senders
        )

    def _is_bound(self, node, start_name, began_at, arrived_at):
        told = [
            at
            for at in self._told_at[node.name, start_name]
            if at >= began_at and at + TOLD_TIME_S <= arrived_at
        ]
        return any(
            not self._disturbances.was_disturbed(node, at, arrived_at)
            for at in told
        )


def check_orders(disturbances, nodes, engines):
    """Returns the orders that two holders sent to an engine out of turn."""
    by_name = {node.name: node for node in nodes}
    found = []
    for engine in engines:
        last = {}
        for at, start_name, holder, fence in engine.order_arrivals:
            node = by_name[holder]
            if disturbances.was_disturbed(node, at - THAW_TIME_S, at):
                continue
            before = last.get(start_name)
            last[start_name] = at, holder, fence
            if before is None or before[1] == holder:
                continue
            if at - before[0] < TURN_TIME_S or fence <= before[2]:
                found.append(f'orders {before} and {last[start_name]}')
    return found
