"""Breadth-first exploration of every reachable state of a small system."""

import collections


class Violation(AssertionError):
    """An invariant fails; names the steps that lead there."""


def explore(initial, list_steps, check, limit=2_000_000):
    """Returns how many states were explored.

    ``list_steps(state)`` yields (label, next state); states are hashable.
    ``check(state)`` returns what is wrong, or nothing.
    """
    parents = {initial: None}
    queue = collections.deque([initial])
    while queue:
        state = queue.popleft()
        for label, after in list_steps(state):
            if after in parents:
                continue
            parents[after] = (state, label)
            wrong = check(after)
            if wrong:
                raise Violation(f'{wrong} after {_trace(parents, after)}')
            if len(parents) > limit:
                raise RuntimeError('too many states')
            queue.append(after)
    return len(parents)


def _trace(parents, state):
    labels = []
    while parents[state] is not None:
        state, label = parents[state]
        labels.append(label)
    return ', '.join(reversed(labels))
