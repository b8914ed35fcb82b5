"""Detector, chart and roster on their own."""

import random

import pytest

from waxwingport.charts import chart
from waxwingport import ids
from waxwingport.membership import base
from waxwingport.membership import detector
from waxwingport.membership import messages
from waxwingport.membership import roster

State = base.MemberState
Event = roster.MemberEvent


def test_detector_adapts_to_the_rhythm():
    settings = detector.DetectorSettings()
    rng = random.Random(1)
    steady = detector.Detector(settings, 1.0, 0.0)
    jumpy = detector.Detector(settings, 1.0, 0.0)
    now = late = 0.0
    for _ in range(200):
        now += 1.0
        steady.record_arrival(now)
        late += rng.choice([0.2, 0.2, 3.0])
        jumpy.record_arrival(late)
    assert steady.bound < 3 < jumpy.bound
    assert not steady.is_late(now + 1.5)
    assert steady.is_late(now + 3)
    assert not jumpy.is_late(late + 4)


def test_one_outage_teaches_little():
    watch = detector.Detector(detector.DetectorSettings(), 1.0, 0.0)
    for now in range(1, 40):
        watch.record_arrival(float(now))
    watch.record_arrival(1000.0)
    assert watch.bound < 8


TRANSITIONS = {
    (State.JOINING, Event.READY): State.LIVE,
    (State.JOINING, Event.LATE): State.JOINING,
    (State.LIVE, Event.LATE): State.SUSPECT,
    (State.LIVE, Event.LOST): State.LIVE,
    (State.SUSPECT, Event.READY): State.LIVE,
    (State.SUSPECT, Event.LOST): State.GONE,
    (State.LEAVING, Event.READY): State.LEAVING,
    (State.LEAVING, Event.LATE): State.GONE,
    (State.GONE, Event.READY): State.LIVE,
    (State.GONE, Event.LEAVE): State.LEAVING,
    (State.GONE, Event.LATE): State.GONE,
}


@pytest.mark.parametrize('state, event', TRANSITIONS, ids=str)
def test_chart(state, event):
    found = chart.read_chart('member', State, Event)
    assert found.next(state, event) is TRANSITIONS[(state, event)]


def make_beat(incarnation, counter, state=State.LIVE):
    return messages.Heartbeat('m', '10.0.0.1:1', incarnation, counter, state)


def test_older_life_and_older_heartbeat_change_nothing():
    name = ids.NodeName('a')
    rows = roster.Roster(roster.RosterSettings())
    rows.note(name, make_beat(5, 2), 0.0)
    assert not rows.note(name, make_beat(4, 9, State.LEAVING), 1.0)
    assert not rows.note(name, make_beat(5, 1, State.LEAVING), 1.0)
    assert rows.list_members()[0].state is State.LIVE
    assert rows.note(name, make_beat(6, 1, State.LEAVING), 1.0)
    assert rows.list_members()[0].state is State.LEAVING


def test_unlisted_member_is_forgotten_and_listed_one_waits():
    rows = roster.Roster(roster.RosterSettings())
    listed = base.Member('b', 'm', '10.0.0.2:1', None)
    rows.update([listed], 0.0)
    rows.note(ids.NodeName('a'), make_beat(1, 1), 0.0)
    for now in range(1, 100):
        rows.check(float(now))
    assert [row.name for row in rows.list_members()] == ['b']
    assert rows.list_members()[0].state is State.JOINING
