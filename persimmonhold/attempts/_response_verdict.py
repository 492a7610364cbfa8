"""Decides whose response an upstream has sent, and what it proves.

A faulty upstream may write an earlier response once more, on a kept connection
or a new one, while it runs the request that it was just given. So a statement
that a request was not run counts only for the request that it names.
"""

import enum
from collections.abc import Container
from typing import final


@final
@enum.unique
class ResponseVerdict(enum.StrEnum):
    """What a response head is taken for.

    `answer`: the response of an upstream that may have run the request.
    `not_run`: proof that the upstream did not run the request.
    `earlier_request`: it names another request that its connection carried
    before, so it is a late response, and the right one may follow it.
    `other_request`: it names any other request.
    `unnamed_refusal`: it states that a request was not run, but not which.
    `unnamed_response`: it names no request, where that is necessary.
    """

    answer = 'answer'
    not_run = 'not_run'
    earlier_request = 'earlier_request'
    other_request = 'other_request'
    unnamed_refusal = 'unnamed_refusal'
    unnamed_response = 'unnamed_response'

    @property
    def is_for_request(self) -> bool:
        """Whether the response belongs to the request that was sent."""
        return self in {ResponseVerdict.answer, ResponseVerdict.not_run}


def judge_response(
    named_id: str,
    request_id: str,
    *,
    states_not_run: bool,
    must_be_named: bool,
    carried_ids: Container[str] = (),
) -> ResponseVerdict:
    """Judge a response to a request by the id that it names, '' for none.

    A refusal that names no request is never accepted. Another response
    without a name is, unless it `must_be_named`. `carried_ids` are the requests
    that were sent on its connection.
    """
    if named_id and named_id != request_id:
        if named_id in carried_ids:
            return ResponseVerdict.earlier_request
        return ResponseVerdict.other_request
    if states_not_run:
        if named_id:
            return ResponseVerdict.not_run
        return ResponseVerdict.unnamed_refusal
    if must_be_named and not named_id:
        return ResponseVerdict.unnamed_response
    return ResponseVerdict.answer
