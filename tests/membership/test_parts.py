"""Unit tests of the detector, the state chart and the roster."""

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


def test_detector_adapts_to_the_intervals():
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
    assert steady.allowed_silence < 3 < jumpy.allowed_silence
    assert not steady.is_late(now + 1.5)
    assert steady.is_late(now + 3)
    assert not jumpy.is_late(late + 4)


def test_one_outage_raises_the_allowed_silence_little():
    failure_detector = detector.Detector(detector.DetectorSettings(), 1.0, 0.0)
    for now in range(1, 40):
        failure_detector.record_arrival(float(now))
    failure_detector.record_arrival(1000.0)
    assert failure_detector.allowed_silence < 8


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


def make_heartbeat(incarnation, counter, state=State.LIVE):
    return messages.Heartbeat('m', '10.0.0.1:1', incarnation, counter, state)


def test_older_incarnation_or_heartbeat_changes_nothing():
    name = ids.NodeName('a')
    members = roster.Roster(roster.RosterSettings())
    members.record_heartbeat(name, make_heartbeat(5, 2), 0.0)
    assert not members.record_heartbeat(
        name, make_heartbeat(4, 9, State.LEAVING), 1.0
    )
    assert not members.record_heartbeat(
        name, make_heartbeat(5, 1, State.LEAVING), 1.0
    )
    assert members.list_members()[0].state is State.LIVE
    assert members.record_heartbeat(
        name, make_heartbeat(6, 1, State.LEAVING), 1.0
    )
    assert members.list_members()[0].state is State.LEAVING


def test_silent_member_is_removed_unless_listed():
    members = roster.Roster(roster.RosterSettings())
    listed = base.Member('b', 'm', '10.0.0.2:1', None)
    members.update([listed], 0.0)
    members.record_heartbeat(ids.NodeName('a'), make_heartbeat(1, 1), 0.0)
    for now in range(1, 100):
        members.check(float(now))
    assert [member.name for member in members.list_members()] == ['b']
    assert members.list_members()[0].state is State.JOINING
