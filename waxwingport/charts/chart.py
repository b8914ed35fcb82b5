"""Flat state charts, read from the YAML files of this package."""

import enum
import functools
import importlib.resources
from typing import Generic
from typing import TypeVar

from sismic import io
from sismic import model

__all__ = ['Chart', 'read_chart']

State = TypeVar('State', bound=enum.Enum)
Event = TypeVar('Event', bound=enum.Enum)


class Chart(Generic[State, Event]):
    """Transitions between the members of an ``Enum`` of states.

    A chart is stateless and shared; callers store the current state.
    """

    def __init__(
        self,
        initial: State,
        transitions: dict[tuple[State, Event], State],
    ) -> None:
        self.initial = initial
        self._transitions = transitions

    def next(self, state: State, event: Event) -> State:
        """Returns the state after ``event``.

        Returns ``state`` itself if the chart has no transition for it.
        """
        return self._transitions.get((state, event), state)

    def accepts(self, state: State, event: Event) -> bool:
        """Returns whether the chart has a transition for ``event``."""
        return (state, event) in self._transitions


@functools.cache
def read_chart(
    name: str, states: type[State], events: type[Event]
) -> Chart[State, Event]:
    """Returns the chart in ``name.yaml``, read once per process.

    Raises ``ValueError`` if the file has a state or an event that the
    enumerations lack, lacks one of their states, or has no initial state.
    """
    folder = importlib.resources.files('waxwingport.charts')
    text = (folder / f'{name}.yaml').read_text('utf-8')
    statechart = io.import_from_yaml(text)
    root = statechart.state_for(statechart.root)
    declared = set(statechart.states) - {statechart.root}
    missing = {state.value for state in states} - declared
    if missing:
        raise ValueError(f'{name}.yaml lacks the states {sorted(missing)}')
    transitions = {
        (states(transition.source), events(transition.event)): states(
            transition.target or transition.source
        )
        for transition in statechart.transitions
    }
    if not isinstance(root, model.CompoundState) or not root.initial:
        raise ValueError(f'{name}.yaml names no initial state')
    return Chart(states(root.initial), transitions)
