"""Decides whether an answer counts as one.

Faulty endpoints spoil some of their answers. A success that says that it is
none, that its endpoint has not signed or whose body is encoded does not count,
whatever its request asked for.
"""

import http
from typing import Final

from lentilspool.serving import _answers

SUCCESS_STATUSES: Final = range(
    http.HTTPStatus.OK, http.HTTPStatus.MULTIPLE_CHOICES
)


def answer_defect(head: _answers.AnswerHead, *, expects_signature: bool) -> str:
    """Return why an answer does not count; empty if it does.

    Its request may have run nevertheless. ``expects_signature`` is False for
    messages whose answers bear no signature, such as calls of stages.
    """
    if head.status not in SUCCESS_STATUSES:
        return ''
    if head.not_run:
        return 'success that states that the request did not run'
    if head.encoded:
        return 'success with a content coding'
    unsigned = expects_signature and not head.signed
    return 'success without a signature' if unsigned else ''
