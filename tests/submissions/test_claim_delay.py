"""Tests which nodes claim partitions of submissions first."""

from waxwingport.submissions import holder

STRONG, WEAK = 2.15, 0.516
CLAIM_JITTER_S = 0.2


def test_a_node_with_half_a_core_claims_after_the_strong_ones():
    """Whatever the random delays of both are."""
    strong = holder.compute_claim_delay(0, STRONG)
    weak = holder.compute_claim_delay(0, WEAK)
    assert strong == 0.0
    assert weak > strong + CLAIM_JITTER_S


def test_a_node_that_holds_partitions_claims_later():
    assert holder.compute_claim_delay(2, STRONG) > holder.compute_claim_delay(
        1, STRONG
    )
