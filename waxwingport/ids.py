"""Identifier types shared by every subsystem.

All of them are ``NewType`` aliases: they have no cost at run time and let a
type checker distinguish, say, a pool's name from a trainer's.
"""

import os
import time
from typing import NewType
import uuid

__all__ = [
    'CallerName',
    'DataCentre',
    'FencingNumber',
    'GroupId',
    'Incarnation',
    'NodeName',
    'Offset',
    'PoolName',
    'RecordId',
    'RequestDigest',
    'RequestId',
    'Revision',
    'SampleNumber',
    'ServiceName',
    'SoftwareVersion',
    'StepNumber',
    'StreamName',
    'TargetName',
    'TrainerName',
    'WeightVersion',
    'generate_incarnation',
    'generate_record_id',
    'generate_request_id',
]

CallerName = NewType('CallerName', str)
DataCentre = NewType('DataCentre', str)
FencingNumber = NewType('FencingNumber', int)
"""Offset of the log record that acquired a lease; grows with each holder."""
GroupId = NewType('GroupId', str)
Incarnation = NewType('Incarnation', int)
"""Distinguishes successive processes of one name; grows with each start."""
NodeName = NewType('NodeName', str)
Offset = NewType('Offset', int)
"""Position of a record in a stream of the platform's log, from 0."""
PoolName = NewType('PoolName', str)
RecordId = NewType('RecordId', str)
"""Chosen by the writer, so that the log recognises a repeated append."""
RequestDigest = NewType('RequestDigest', str)
"""Equal for requests that differ in nothing but their id and timeout."""
RequestId = NewType('RequestId', str)
Revision = NewType('Revision', int)
"""Offset of the last configuration record applied; -1 before the first."""
SampleNumber = NewType('SampleNumber', int)
"""Counts from 0 within a step, group after group."""
ServiceName = NewType('ServiceName', str)
SoftwareVersion = NewType('SoftwareVersion', str)
"""Version of an engine's software, without an order; unlike
``WeightVersion``."""
StepNumber = NewType('StepNumber', int)
StreamName = NewType('StreamName', str)
TargetName = NewType('TargetName', str)
TrainerName = NewType('TrainerName', str)
WeightVersion = NewType('WeightVersion', int)
"""Counts from 1 for each trainer."""

_RANDOM_BITS = 16


def generate_incarnation() -> Incarnation:
    """Returns a number above that of any earlier start of this process.

    The high bits are wall-clock milliseconds, so that a restarted process
    gets a larger number; the low bits are random and distinguish two starts
    in one millisecond.
    """
    milliseconds = time.time_ns() // 1_000_000
    random_bits = int.from_bytes(os.urandom(_RANDOM_BITS // 8), 'big')
    return Incarnation((milliseconds << _RANDOM_BITS) | random_bits)


def generate_record_id() -> RecordId:
    """Returns a record id that no other writer uses."""
    return RecordId(uuid.uuid4().hex)


def generate_request_id() -> RequestId:
    """Returns an id for a request that the node itself sends."""
    return RequestId(uuid.uuid4().hex)
