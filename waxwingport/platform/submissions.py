"""Submissions in the platform's wire format."""

import base64
from urllib import parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from waxwingport import decoding
from waxwingport.gateway import dialect
from waxwingport import ids
from waxwingport import numerals
from waxwingport.platform import identities
from waxwingport.submissions import model
from waxwingport.tenancy import model as tenancy

__all__ = ['read_submission', 'split_target']

_LENGTH_HINT_HEADER = 'length-hint'


class _Reward(msgspec.Struct, frozen=True):
    id: str
    host: str
    path: str
    body: str = ''


class _Item(msgspec.Struct, frozen=True, rename='kebab'):
    id: str
    path: str
    headers: dict[str, str]
    body: str
    tokens: decoding.WholeNumber = 0
    group: str = ''
    scorer_url: _Reward | None = None


class _Batch(msgspec.Struct, frozen=True, rename='kebab'):
    items: list[_Item]
    step: decoding.WholeNumber = 0
    model: str = ''
    min_version: decoding.WholeNumber = 0
    target_groups: decoding.WholeNumber = 0


def split_target(target: str) -> tuple[str, str]:
    """Returns path and query of a request's target, without a fragment.

    The target is a path, or a URL as proxies get it.
    """
    if not target.startswith('/'):
        try:
            parts = parse.urlsplit(target)
        except ValueError:
            return '', ''
        return parts.path, parts.query
    # ``urlsplit`` would take what follows two slashes for a host.
    path, _, query = target.partition('#')[0].partition('?')
    return path, query


def read_submission(
    call: dialect.Call, now: float, identity: tenancy.Identity | None
) -> Result[dialect.BatchCall | None, str]:
    """Returns the submission in a call; fails with what is wrong.

    ``now`` is in seconds since 1970.  With an ``identity`` the items have no
    keys, so that none is stored in the log.
    """
    return (
        decoding.read_json(call.body, _Batch)
        .bind(lambda found: _read_items(found, identity))
        .map_error(lambda reason: f'submission cannot be read: {reason}')
        .bind(lambda found: _make_submission(call, *found, now))
    )


def _read_items(
    found: _Batch, identity: tenancy.Identity | None
) -> Result[tuple[_Batch, tuple[model.Item, ...]], str]:
    try:
        return Ok(
            (found, tuple(_read_item(item, identity) for item in found.items))
        )
    except ValueError as error:
        return Error(f'body of an item: {error}')


def _make_submission(
    call: dialect.Call,
    found: _Batch,
    items: tuple[model.Item, ...],
    now: float,
) -> Result[dialect.BatchCall | None, str]:
    if not call.request_id:
        return Error('submission without an id')
    if not items:
        return Error('submission without items')
    if len({item.item_id for item in items}) < len(items):
        return Error('submission with duplicate item ids')
    return Ok(
        dialect.SubmitCall(
            model.Submission(
                model.SubmissionId(call.request_id),
                call.host,
                split_target(call.path)[0],
                found.model,
                found.step,
                ids.WeightVersion(found.min_version),
                found.target_groups,
                items,
                now,
                call.tenant or '',
            )
        )
    )


def _read_item(item: _Item, identity: tenancy.Identity | None) -> model.Item:
    hints = [
        numerals.read_whole_number(value)
        for name, value in item.headers.items()
        if name.lower() == _LENGTH_HINT_HEADER
    ]
    reward = item.scorer_url
    return model.Item(
        model.ItemId(item.id),
        item.path,
        identities.drop_headers(tuple(item.headers.items()), identity),
        base64.b64decode(item.body, validate=True),
        item.tokens,
        hints[0] if hints else None,
        ids.GroupId(item.group),
        None
        if reward is None
        else model.RewardCall(
            ids.RequestId(reward.id),
            reward.host,
            reward.path,
            base64.b64decode(reward.body, validate=True),
        ),
    )
