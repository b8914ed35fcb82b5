"""Breadth-first exploration of every reachable state of a small system."""

import collections


class Violation(AssertionError):
    """An invariant does not hold; the text lists the steps to that state."""


def explore(initial, list_steps, check, limit=2_000_000):
    """Returns the number of states explored.

    ``list_steps(state)`` yields pairs of label and next state; states are
    hashable.  ``check(state)`` returns a text if an invariant fails.  Raises
    ``Violation`` for the first such state, and ``RuntimeError`` if there are
    more than ``limit`` states.
    """
    parents = {initial: None}
    queue = collections.deque([initial])
    while queue:
        state = queue.popleft()
        for label, next_state in list_steps(state):
            if next_state in parents:
                continue
            parents[next_state] = (state, label)
            problem = check(next_state)
            if problem:
                raise Violation(
                    f'{problem} after {_trace(parents, next_state)}'
                )
            if len(parents) > limit:
                raise RuntimeError('more states than the limit')
            queue.append(next_state)
    return len(parents)


def _trace(parents, state):
    labels = []
    while parents[state] is not None:
        state, label = parents[state]
        labels.append(label)
    return ', '.join(reversed(labels))
