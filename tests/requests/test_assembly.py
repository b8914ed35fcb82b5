"""Differential test of the assembly against a naive one."""

from hypothesis import given
from hypothesis import strategies as st

from waxwingport.requests import assembly
from waxwingport.targets import base

TOTAL = 24


def make_chunk(start, end, version=1):
    return base.Chunk(
        position=start,
        tokens=end - start,
        text=''.join(f'<{row}>' for row in range(start, end)),
        weight_version=version,
        finish_reason=base.FinishReason.STOP if end == TOTAL else None,
    )


cuts = st.lists(st.integers(1, TOTAL - 1), unique=True).map(
    lambda rows: [0, *sorted(rows), TOTAL]
)


@st.composite
def deliveries(draw):
    """Chunks of one answer, some repeated, some missing, some late."""
    edges = draw(cuts)
    chunks = [
        make_chunk(start, end)
        for start, end in zip(edges, edges[1:], strict=False)
    ]
    rows = []
    for chunk in chunks:
        rows += [chunk] * draw(st.integers(0, 2))
    for _ in range(draw(st.integers(0, 3))):
        rows.insert(
            draw(st.integers(0, len(rows))), draw(st.sampled_from(chunks))
        )
    return rows


def assemble_naively(chunks):
    """Keeps tokens by position until one is missing."""
    text = {}
    for chunk in chunks:
        start, end = chunk.position, chunk.position + chunk.tokens
        if start > len(text) or start < len(text) < end:
            return ''.join(text.values()), False
        for row in range(start, end):
            text.setdefault(row, f'<{row}>')
        if len(text) == TOTAL:
            return ''.join(text.values()), True
    return ''.join(text.values()), False


@given(deliveries())
def test_each_position_is_taken_once_and_in_order(chunks):
    found = assembly.AnswerAssembly()
    emitted = ''
    for chunk in chunks:
        new = found.add_chunk(chunk)
        if isinstance(new, base.TargetFault):
            break
        emitted += new.text if new is not None else ''
        if found.finished:
            break
    assert (emitted, found.finished) == assemble_naively(chunks)
    assert found.text == emitted


@given(st.integers(-3, 3), st.integers(-3, 3), st.text(max_size=2))
def test_odd_chunks_never_move_the_position_back(position, tokens, text):
    found = assembly.AnswerAssembly()
    found.add_chunk(make_chunk(0, 2))
    chunk = base.Chunk(position, tokens, text, None)
    found.add_chunk(chunk)
    assert found.position >= 2
    assert found.text.startswith('<0><1>')


def test_versions_are_distinct_and_in_order():
    found = assembly.AnswerVersions()
    for version in (3, 3, 4, 3, 5):
        found.add(version)
    assert found.list() == (3, 4, 5)
    found.add(None)
    assert found.list() is None
