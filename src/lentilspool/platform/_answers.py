"""Decoding of endpoints' answers."""

import re
from collections.abc import Iterable
from typing import Final

from lentilspool import serving
from lentilspool.platform import _digits, _names, _statements

_TIMEOUT: Final = re.compile(rb'timeout\s*=\s*(\d+)')
_LOAD_FIELDS: Final = 3


def decode_answer_head(
    status: int, headers: Iterable[tuple[bytes, bytes]]
) -> serving.AnswerHead:
    """Decode status and headers of an endpoint's answer.

    Values that cannot be read become None.
    """
    pairs = [(name.lower(), content) for name, content in headers]
    by_name = dict(pairs)
    dropped = set(_names.CONNECTION_HEADERS)
    dropped.update(
        token.strip().lower()
        for token in by_name.get(b'connection', b'').split(b',')
    )
    dropped.discard(_names.SIGNATURE)
    dropped.discard(_names.REQUEST_ID)
    length = by_name.get(b'content-length', b'')
    return serving.AnswerHead(
        status=status,
        headers=tuple(pair for pair in pairs if pair[0] not in dropped),
        request_id=by_name.get(_names.REQUEST_ID, b'').decode('latin-1'),
        not_run=_names.NOT_RUN in by_name,
        load=_load(by_name.get(_names.LOAD, b'')),
        keep_alive_s=_keep_alive(by_name.get(b'keep-alive', b'')),
        length=_digits.decode_number(length.decode('latin-1')),
        statement=_statements.decode_statement(status, pairs),
        signed=_is_signed(pairs),
        encoded=b'content-encoding' in by_name,
    )


def _is_signed(pairs: list[tuple[bytes, bytes]]) -> bool:
    """Whether there is one signature; several different ones are none."""
    found = {
        content.strip() for name, content in pairs if name == _names.SIGNATURE
    }
    return len(found) == 1 and b'' not in found


def _load(text: bytes) -> serving.ReportedLoad | None:
    fields = text.split(b',')
    if len(fields) != _LOAD_FIELDS:
        return None
    numbers = [
        _digits.decode_number(field.decode('latin-1')) for field in fields
    ]
    running, waiting, slots = numbers
    if running is None or waiting is None or slots is None:
        return None
    return serving.ReportedLoad(running, waiting, slots)


def _keep_alive(text: bytes) -> float | None:
    found = _TIMEOUT.search(text.lower())
    return float(found[1]) if found else None
