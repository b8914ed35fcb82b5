import pytest

from waxwingport.submissions import model


@pytest.fixture
def make_item():
    """Returns a function that makes an item of a group."""

    def make(name, group='g', tokens=None):
        return model.Item(
            name, '/a/b', (('Model', 'm'),), b'x', 100, tokens, group, None
        )

    return make


@pytest.fixture
def make_submission(make_item):
    """Returns a function that makes a submission with items by name."""

    def make(name='s', items=('a', 'b'), minimum=1, accepted_at=0.0):
        return model.Submission(
            name,
            'host',
            '/a/s',
            'm',
            1,
            minimum,
            1,
            tuple(make_item(item) for item in items),
            accepted_at,
        )

    return make


@pytest.fixture
def make_result():
    """Returns a function that makes a completed result of an item.

    Its text is stored at the given offset of the log.
    """

    def make(name, offset=0, versions=(1,)):
        state = model.ItemState.COMPLETED
        text = model.TextReference(0, offset, 1, 100, 0.0)
        return model.FinishedItem(name, state, text, versions, 'signed')

    return make
