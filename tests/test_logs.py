import asyncio
import contextlib
import io
import json
import logging
import os

import pytest

from waxwingport import ids
from waxwingport import logs
from waxwingport import metrics
from waxwingport import settings


@pytest.fixture
def log_stream():
    """Logs to a stream, and restores the root logger afterwards."""
    root = logging.getLogger()
    previous = (root.handlers[:], root.level)
    stream = io.StringIO()
    logs.configure(settings.LogSettings(lines_per_second=3), stream)
    yield stream
    root.handlers[:], level = previous[0], previous[1]
    root.setLevel(level)


def read_lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_lines_off_a_terminal_are_json_with_the_request_id(log_stream):
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
    rate_filter = logs.RateFilter(2)
    passed = [rate_filter.filter(make_record(10.0 + i / 10)) for i in range(5)]
    assert passed == [True, True, False, False, False]
    late = make_record(11.0)
    assert rate_filter.filter(late)
    assert late.msg == 'line (dropped_lines=3)'


def test_routine_lines_do_not_displace_warnings():
    rate_filter = logs.RateFilter(1)
    assert rate_filter.filter(make_record(5.0))
    assert not rate_filter.filter(make_record(5.1))
    assert rate_filter.filter(make_record(5.2, logging.WARNING))


@pytest.fixture
def pipe_logger():
    """Returns a logger that writes to a pipe, its handler and reading end."""
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


async def test_stopped_reader_does_not_block_logging(pipe_logger):
    logger, handler, _ = pipe_logger
    for number in range(10_000):
        logger.warning('%s %d', 'x' * 90, number)
    assert handler.dropped > 0


async def test_buffered_lines_arrive_whole(pipe_logger):
    logger, handler, reading = pipe_logger
    for number in range(3_000):
        logger.warning('%s %d', 'x' * 60, number)
    assert handler.dropped == 0
    os.set_blocking(reading, False)
    received = b''
    async with asyncio.timeout(5.0):
        while received.count(b'\n') < 3_000:
            await asyncio.sleep(0.001)
            with contextlib.suppress(BlockingIOError):
                received += os.read(reading, 65536)
    lines = received.decode().splitlines()
    assert [line.split()[1] for line in lines] == [
        str(number) for number in range(3_000)
    ]


def test_skipped_records_are_not_seen_in_the_metrics(log_stream):
    # Guards against losses that only lines tell of, which may be dropped.
    counters = metrics.Metrics()
    with logs.count_warnings(counters):
        for _ in range(9):
            logging.getLogger('waxwingport.x').warning('record-skipped')
        logging.getLogger('waxwingport.x').info('call-routed')
        logging.getLogger('tornado.x').warning('from-a-library')
    logging.getLogger('waxwingport.x').warning('record-skipped')
    assert len(read_lines(log_stream)) < 9
    body = counters.render()[0].decode()
    lines = [line for line in body.splitlines() if not line.startswith('#')]
    assert lines == ['waxwingport_warnings_total{event="record-skipped"} 9']
