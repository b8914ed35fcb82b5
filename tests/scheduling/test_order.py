"""Tests the order in which waiting items start."""

from waxwingport.scheduling import order


def make_candidate(item, rank, remaining, due=10.0, wanted=2, priority=0):
    return order.Candidate(item, due, rank, wanted, priority, remaining)


def test_the_group_with_a_straggler_ranks_last():
    longest = {'short': 900, 'straggler': 9000, 'middle': 2000}
    ranks = order.rank_groups(longest, frozenset())
    assert ranks == {'short': 0, 'middle': 1, 'straggler': 2}


def test_resumed_groups_rank_first_whatever_their_length():
    longest = {'new': 10, 'resumed': 9000}
    ranks = order.rank_groups(longest, frozenset({'resumed'}))
    assert ranks == {'resumed': 0, 'new': 1}


def test_items_start_longest_first_in_wanted_groups():
    candidates = [
        make_candidate('short', 0, 100),
        make_candidate('long', 1, 4000),
        make_candidate('left-out', 2, 9000),
    ]
    found = [candidate.key for candidate in order.sort_candidates(candidates)]
    assert found == ['long', 'short', 'left-out']


def test_the_submission_due_first_goes_first_among_trainers():
    candidates = [
        make_candidate('later', 0, 9000, due=20.0),
        make_candidate('sooner', 0, 10, due=10.0),
    ]
    assert order.sort_candidates(candidates)[0].key == 'sooner'


def test_of_two_steps_due_together_the_more_urgent_route_goes_first():
    candidates = [
        make_candidate('less', 0, 9000, priority=1),
        make_candidate('urgent', 0, 10, priority=0),
    ]
    assert order.sort_candidates(candidates)[0].key == 'urgent'
