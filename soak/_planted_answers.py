"""Guards against earlier answers, to be switched off in a planted gateway."""

from typing import Final

from lentilspool import serving
from lentilspool.gateway import _answer_identities

_NEVER: Final = property(lambda identities: False)


def believe() -> None:
    """Believe refusals that do not state their request."""
    setattr(  # noqa: B010
        _answer_identities.AnswerIdentities, 'problem', _find_no_problem
    )
    setattr(  # noqa: B010
        _answer_identities.AnswerIdentities, 'exhausted', _NEVER
    )


def _find_no_problem(
    identities: _answer_identities.AnswerIdentities, head: serving.AnswerHead
) -> str:
    return ''


def copies() -> None:
    """Take earlier answers to calls for new ones."""
    setattr(  # noqa: B010
        _answer_identities.AnswerIdentities, 'recognize', _recognize_all
    )
    setattr(  # noqa: B010
        _answer_identities.AnswerIdentities, 'exhausted', _NEVER
    )


def _recognize_all(
    identities: _answer_identities.AnswerIdentities, identity: str
) -> bool:
    return True
