"""The assembly of an answer, compared with a naive implementation."""

from hypothesis import given
from hypothesis import strategies as st

from waxwingport.requests import assembly
from waxwingport.targets import base

TOTAL = 24


def make_chunk(start, end, version=1):
    return base.Chunk(
        position=start,
        tokens=end - start,
        text=''.join(f'<{token}>' for token in range(start, end)),
        weight_version=version,
        finish_reason=base.FinishReason.STOP if end == TOTAL else None,
    )


cuts = st.lists(st.integers(1, TOTAL - 1), unique=True).map(
    lambda edges: [0, *sorted(edges), TOTAL]
)


@st.composite
def deliveries(draw):
    """Chunks of one answer, some repeated, missing or out of order."""
    edges = draw(cuts)
    chunks = [
        make_chunk(start, end)
        for start, end in zip(edges, edges[1:], strict=False)
    ]
    delivered = []
    for chunk in chunks:
        delivered += [chunk] * draw(st.integers(0, 2))
    for _ in range(draw(st.integers(0, 3))):
        delivered.insert(
            draw(st.integers(0, len(delivered))), draw(st.sampled_from(chunks))
        )
    return delivered


def assemble_naively(chunks):
    """Collects tokens by position until one is missing."""
    text = {}
    for chunk in chunks:
        start, end = chunk.position, chunk.position + chunk.tokens
        if start > len(text) or start < len(text) < end:
            return ''.join(text.values()), False
        for token in range(start, end):
            text.setdefault(token, f'<{token}>')
        if len(text) == TOTAL:
            return ''.join(text.values()), True
    return ''.join(text.values()), False


@given(deliveries())
def test_each_position_is_added_once_and_in_order(chunks):
    answer = assembly.AnswerAssembly()
    emitted = ''
    for chunk in chunks:
        new = answer.add_chunk(chunk)
        if isinstance(new, base.TargetFault):
            break
        emitted += new.text if new is not None else ''
        if answer.finished:
            break
    assert (emitted, answer.finished) == assemble_naively(chunks)
    assert answer.text == emitted


@given(st.integers(-3, 3), st.integers(-3, 3), st.text(max_size=2))
def test_invalid_chunks_never_move_the_position_back(position, tokens, text):
    answer = assembly.AnswerAssembly()
    answer.add_chunk(make_chunk(0, 2))
    chunk = base.Chunk(position, tokens, text, None)
    answer.add_chunk(chunk)
    assert answer.position >= 2
    assert answer.text.startswith('<0><1>')


def test_versions_are_distinct_and_in_order():
    versions = assembly.AnswerVersions()
    for version in (3, 3, 4, 3, 5):
        versions.add(version)
    assert versions.list() == (3, 4, 5)
    versions.add(None)
    assert versions.list() is None
