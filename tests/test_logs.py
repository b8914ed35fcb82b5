import asyncio
import contextlib
import io
import json
import logging
import os

import pytest

from waxwingport import ids
from waxwingport import logs
from waxwingport import settings


@pytest.fixture
def log_stream():
    """Installs logging on a stream and restores it afterwards."""
    root = logging.getLogger()
    before = (root.handlers[:], root.level)
    stream = io.StringIO()
    logs.configure(settings.LogSettings(lines_per_second=3), stream)
    yield stream
    root.handlers[:], level = before[0], before[1]
    root.setLevel(level)


def read_lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_lines_are_json_off_a_terminal_and_bear_the_request(log_stream):
    token = logs.request_id.set(ids.RequestId('r-1'))
    logging.getLogger('waxwingport.x').info('route chosen=%s', 'a')
    logs.request_id.reset(token)
    (line,) = read_lines(log_stream)
    assert line['message'] == 'route chosen=a'
    assert line['request_id'] == 'r-1'
    assert (line['level'], line['logger']) == ('INFO', 'waxwingport.x')


def make_record(created, level=logging.INFO):
    record = logging.LogRecord('n', level, 'f', 1, 'line', (), None)
    record.created = created
    return record


def test_rate_filter_counts_what_it_drops():
    found = logs.RateFilter(2)
    kept = [found.filter(make_record(10.0 + i / 10)) for i in range(5)]
    assert kept == [True, True, False, False, False]
    late = make_record(11.0)
    assert found.filter(late)
    assert late.msg == 'line (dropped_lines=3)'


def test_routine_lines_do_not_crowd_out_warnings():
    found = logs.RateFilter(1)
    assert found.filter(make_record(5.0))
    assert not found.filter(make_record(5.1))
    assert found.filter(make_record(5.2, logging.WARNING))


@pytest.fixture
def pipe_logger():
    """Returns a logger into a pipe, its handler and the reading end."""
    reading, writing = os.pipe()
    handler = logs.NonBlockingHandler(writing, 200_000)
    handler.setFormatter(logging.Formatter('%(message)s'))
    logger = logging.getLogger('bounded')
    logger.propagate = False
    logger.handlers[:] = [handler]
    yield logger, handler, reading
    logger.handlers.clear()
    os.close(reading)
    os.close(writing)


async def test_a_reader_that_stops_reading_blocks_nothing(pipe_logger):
    logger, handler, _ = pipe_logger
    for number in range(10_000):
        logger.warning('%s %d', 'x' * 90, number)
    assert handler.dropped > 0


async def test_lines_come_whole_once_they_are_read(pipe_logger):
    logger, handler, reading = pipe_logger
    for number in range(3_000):
        logger.warning('%s %d', 'x' * 60, number)
    assert handler.dropped == 0
    os.set_blocking(reading, False)
    found = b''
    async with asyncio.timeout(5.0):
        while found.count(b'\n') < 3_000:
            await asyncio.sleep(0.001)
            with contextlib.suppress(BlockingIOError):
                found += os.read(reading, 65536)
    lines = found.decode().splitlines()
    assert [line.split()[1] for line in lines] == [
        str(number) for number in range(3_000)
    ]
