import asyncio
import os
import sys

PROGRAM = """
from tests import ports
print(ports.find_port(), flush=True)
input()
"""


async def test_two_test_runs_draw_the_same_ports():
    # Two runs have workers of the same names.
    environment = os.environ | {'PYTEST_XDIST_WORKER': 'gw0'}
    runs = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            PROGRAM,
            env=environment,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        for _ in range(4)
    ]
    drawn = [await run.stdout.readline() for run in runs]
    for run in runs:
        await run.communicate(b'\n')
    assert all(drawn)
    assert len(set(drawn)) == len(drawn)
