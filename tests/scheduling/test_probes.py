from waxwingport.scheduling import probes

LIFETIME_S = probes.CLAIM_LIFETIME_S


def make_claim(node, digest, target, number=0):
    return node, probes.Claim(digest, target, number)


def make_order(*claims, now=0.0):
    order = probes.ProbeOrder()
    order.update(claims, now)
    return order


def find_granted(order, claims, now=0.0):
    return [claim for claim in claims if order.is_granted(claim, now)]


def test_tries_of_all_nodes_are_sent_together():
    claims = [
        make_claim(f'n{number % 4}', 'bad', f't{number}', number)
        for number in range(16)
    ]
    order = make_order(*claims)
    assert find_granted(order, claims) == claims[:1]
    order.update(claims[1:], 1.0)
    assert find_granted(order, claims, 1.0) == claims[1:2]


def test_two_suspects_are_sent_to_the_same_target():
    claims = [
        make_claim('n1', 'bad', 't1'),
        make_claim('n2', 'new', 't1'),
        make_claim('n3', 'other', 't2'),
    ]
    order = make_order(*claims)
    assert find_granted(order, claims) == [claims[0], claims[2]]


def test_a_later_claim_overtakes_one_that_waits():
    # The second claim waits for the first, and the third one for the second.
    claims = [
        make_claim('n1', 'bad', 't1'),
        make_claim('n2', 'bad', 't2'),
        make_claim('n3', 'new', 't2'),
    ]
    order = make_order(*claims)
    assert find_granted(order, claims) == claims[:1]
    order.update(claims[1:], 1.0)
    assert find_granted(order, claims, 1.0) == claims[1:2]


def test_claims_of_a_lost_node_hold_up_the_others():
    claims = [make_claim('lost', 'a', 't1'), make_claim('n1', 'a', 't1')]
    order = make_order(*claims)
    assert find_granted(order, claims, LIFETIME_S - 0.1) == claims[:1]
    assert find_granted(order, claims, LIFETIME_S) == claims[1:]


def test_a_claim_that_waited_expires_early():
    claims = [make_claim('n1', 'a', 't1'), make_claim('n2', 'a', 't1')]
    order = make_order(*claims)
    order.update(claims[1:], LIFETIME_S - 0.1)
    now = 2 * LIFETIME_S - 0.2
    assert find_granted(order, claims, now) == claims[1:]


def test_a_new_claim_of_a_node_keeps_its_place():
    first, second = make_claim('n1', 'a', 't1'), make_claim('n2', 'a', 't1')
    order = make_order(first, second)
    again = make_claim('n1', 'a', 't1', 1)
    order.update([again, second], 1.0)
    assert find_granted(order, [again, second], 1.0) == [second]
