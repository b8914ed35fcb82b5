"""Tests the errors of pattern files and of the command."""

import pytest

from waxwingport import cli
from waxwingport.experiment import patterns

PATTERN = """
name = "mine"
description = "a pattern of a test"
engines = { count = 2, slots = 4, gap = 0.03 }
trainers = { count = 1, items = 8, group_size = 4, steps = 2 }
faults = [{ kind = "slow", at = 1.0, seconds = 1.0 }]
"""


@pytest.fixture
def write_pattern(tmp_path):
    def write(text):
        path = tmp_path / 'mine.toml'
        path.write_text(text)
        return str(path)

    return write


def test_a_pattern_is_read_from_a_file(write_pattern):
    found = patterns.read_pattern(write_pattern(PATTERN)).ok
    assert found.engines.slots == 4
    assert found.faults[0].kind is patterns.FaultKind.SLOW


@pytest.mark.parametrize(
    ('before', 'after', 'message'),
    [
        ('slots = 4', 'slots = "4"', '$.engines.slots'),
        ('slots = 4', 'slot = 4', 'slot'),
        ('"slow"', '"sleepy"', 'sleepy'),
        ('name =', 'name', 'mine.toml'),
    ],
)
def test_an_invalid_file_is_named_with_its_fault(
    write_pattern, before, after, message
):
    path = write_pattern(PATTERN.replace(before, after))
    found = patterns.read_pattern(path).error
    assert found.startswith(path)
    assert message in found


def test_a_missing_file_is_named():
    assert (
        'absent.toml: No such file'
        in patterns.read_pattern('absent.toml').error
    )


def test_the_command_prints_a_table_and_writes_plots(
    write_pattern, tmp_path, capsys
):
    cli.Commands().experiment(
        write_pattern(PATTERN),
        policy='current,any-order',
        seeds=1,
        plots=str(tmp_path),
    )
    printed = capsys.readouterr().out
    assert 'current' in printed
    assert 'any-order' in printed
    assert (tmp_path / 'mine.png').stat().st_size > 0


@pytest.mark.parametrize(
    ('arguments', 'options', 'message'),
    [
        (('nowhere',), {}, "no pattern 'nowhere'; expected"),
        (('burst',), {'policy': 'luck'}, "no policy 'luck'; expected"),
        (('burst',), {'seeds': 0}, 'seeds is 0; expected'),
    ],
)
def test_the_command_names_what_is_wrong(arguments, options, message, capsys):
    with pytest.raises(SystemExit):
        cli.Commands().experiment(*arguments, **options)
    assert message in capsys.readouterr().err


def test_the_command_lists_patterns_and_policies(capsys):
    cli.Commands().experiment()
    printed = capsys.readouterr().out
    for name in (*patterns.list_patterns(), 'current', 'no-moves'):
        assert name in printed
