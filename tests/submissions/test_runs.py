"""Tests the ranks of the groups of a submission's items."""

from waxwingport.scheduling import order
from waxwingport.submissions import runs


def rank(items, first=frozenset()):
    return order.rank_groups(runs.find_longest_outputs(items), first)


def test_the_group_with_a_straggler_ranks_last(make_item):
    items = [
        make_item('a', 'short', 800),
        make_item('b', 'short', 900),
        make_item('c', 'straggler', 9000),
        make_item('d', 'straggler', 100),
        make_item('e', 'middle', 2000),
    ]
    assert rank(items) == {'short': 0, 'middle': 1, 'straggler': 2}


def test_resumed_groups_rank_first_whatever_their_length(make_item):
    items = [make_item('a', 'new', 10), make_item('b', 'resumed', 9000)]
    assert rank(items, frozenset({'resumed'})) == {'resumed': 0, 'new': 1}


def test_an_item_without_a_hint_ranks_among_the_others(make_item):
    items = [
        make_item('a', 'long', 1001),
        make_item('b', 'unknown'),
        make_item('c', 'short', 999),
    ]
    assert rank(items) == {'short': 0, 'unknown': 1, 'long': 2}
