"""Plays the soak with many seeds: ``python -m tests.soak --first 1``."""

import asyncio
import pathlib
import tempfile

import fire

from tests.soak import world


def play(first=1, count=10, seconds=10.0, keep='target/soak'):
    """Plays seeds from ``first`` on; keeps the logs of those that fail."""
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            found = pathlib.Path(folder)
            played, wrong = asyncio.run(world.play(found, seed, seconds))
            print(
                f'seed {seed}: {len(played.accepted)} accepted, '
                f'{len(played.refused)} refused, calls {dict(played.calls)}, '
                f'{len(played.faults.done)} faults, {len(wrong)} wrong',
                flush=True,
            )
            if not wrong:
                continue
            print('\n'.join(map(str, (*wrong[:5], played.faults.done))))
            kept = pathlib.Path(keep) / str(seed)
            kept.mkdir(parents=True, exist_ok=True)
            for log in found.glob('*.log'):
                (kept / log.name).write_bytes(log.read_bytes())


if __name__ == '__main__':
    fire.Fire(play)
