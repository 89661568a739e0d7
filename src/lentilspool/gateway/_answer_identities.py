"""What tells the answers on one connection apart.

A faulty endpoint may write an earlier answer once more where the next one is
due. So an answer counts as a request's own only if it can be no earlier one.
"""

from typing import Final

from lentilspool import serving

# Memory of a connection; it is replaced when these are used up.
_MAX_IDENTITIES: Final = 256


class AnswerIdentities:
    """Identities of the requests and answers of one connection.

    Call ``start_request`` for each request, then ``belongs`` and ``problem``
    for the head of each answer. The answer to a request without an id may be
    recognized by its content, with ``recognize``. An answer that can't be told
    from a copy is the last on its connection: ``exhausted`` is set.
    """

    def __init__(self) -> None:
        self._known: set[str] = set()
        self._requests = 0
        self._expected = ''
        self._distinct = True
        self._allows_copies = False

    @property
    def allows_copies(self) -> bool:
        """Whether an answer came before whose copies do no harm."""
        return self._allows_copies

    @property
    def exhausted(self) -> bool:
        """Whether the connection must not carry another request."""
        return not self._distinct or len(self._known) >= _MAX_IDENTITIES

    @property
    def is_first(self) -> bool:
        """Whether no request came before, so that no answer is a copy."""
        return self._requests <= 1

    def may_carry(self, request_id: str) -> bool:
        """Whether a request was not sent on the connection before."""
        return request_id not in self._known

    def start_request(self, request_id: str) -> None:
        """Record a request; its id is empty if its answer will state none."""
        self._requests += 1
        self._expected = request_id
        self._distinct = False
        if request_id:
            self._known.add(request_id)

    def belongs(self, head: serving.AnswerHead) -> bool:
        """Whether an answer states no request, or the one that was sent."""
        return head.request_id in {self._expected, ''}

    def problem(self, head: serving.AnswerHead) -> str:
        """Return why an answer cannot be taken; empty if it can.

        A refusal without an id is believed only on a new connection.
        """
        self._distinct = bool(head.request_id)
        if head.request_id or not self._expected:
            return ''
        if head.status in serving.SUCCESS_STATUSES:
            return 'success without a request id'
        if self.is_first:
            return ''
        return f'{head.status} without a request id after other answers'

    def recognize(self, identity: str) -> bool:
        """Record what the content of an answer is known by.

        Returns False if an earlier answer was known by it: this is a copy.
        """
        if identity in self._known:
            return False
        self._known.add(identity)
        self._distinct = True
        return True

    def allow_copies(self) -> None:
        """Let requests follow an answer whose copies do no harm."""
        self._allows_copies = True
        self._distinct = True
