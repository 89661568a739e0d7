"""Guards of single requests, to be switched off in a planted gateway."""

import dataclasses
from collections.abc import Iterable

import trio

from lentilspool import platform, serving
from lentilspool.gateway import _http_server, _in_flight
from lentilspool.platform import _names

_NOT_FOUND = 404
_LATE_S = 2.0


def resend() -> None:
    """Send again what may have run, as if every route could be repeated."""
    usual = serving.next_step

    def next_step(
        route: serving.Route,
        tally: serving.AttemptCounts,
        end: serving.AttemptOutcome,
        status: int,
        *,
        may_retry: bool,
    ) -> serving.AttemptStep:
        if end is serving.AttemptOutcome.unknown and tally.sent < 2:
            return serving.AttemptStep.again
        return usual(route, tally, end, status, may_retry=may_retry)

    serving.next_step = next_step


def forget() -> None:
    """Refuse requests as if they had never been sent."""
    usual = serving.AttemptCounts.add

    def add(
        counts: serving.AttemptCounts, end: serving.AttemptOutcome
    ) -> serving.AttemptCounts:
        return dataclasses.replace(usual(counts, end), may_have_run=False)

    setattr(serving.AttemptCounts, 'add', add)  # noqa: B010


def stay() -> None:
    """Go on with requests whose caller has left."""
    setattr(  # noqa: B010
        _http_server.Connection, '_cancel_on_disconnect', _wait
    )


async def _wait(
    connection: _http_server.Connection, scope: trio.CancelScope
) -> None:
    await trio.sleep_forever()


def key() -> None:
    """Admit any API key."""
    usual = serving.RouteTable.find

    def find(
        table: serving.RouteTable, call: serving.Call
    ) -> serving.Matched | serving.NoRoute | serving.UnknownKey:
        found = usual(table, call)
        route = table.route_of(call.host, call.path)
        if isinstance(found, serving.UnknownKey) and route:
            return serving.Matched(route, None)
        return found

    setattr(serving.RouteTable, 'find', find)  # noqa: B010


def late() -> None:
    """Tell endpoints a later deadline than the caller's."""
    usual = platform.endpoint_headers

    def endpoint_headers(
        call: serving.Call, options: platform.SendOptions, body_bytes: int
    ) -> list[tuple[bytes, bytes]]:
        time_left_s = options.time_left_s + _LATE_S
        changed = dataclasses.replace(options, time_left_s=time_left_s)
        return usual(call, changed, body_bytes)

    platform.endpoint_headers = endpoint_headers


def sign() -> None:
    """Leave out the signatures of endpoints."""
    usual = platform.decode_answer_head

    def decode(
        status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> serving.AnswerHead:
        head = usual(status, headers)
        kept = (one for one in head.headers if one[0] != _names.SIGNATURE)
        return dataclasses.replace(head, headers=tuple(kept))

    platform.decode_answer_head = decode


def team() -> None:
    """Do not tell endpoints the team of a caller."""
    usual = platform.endpoint_headers

    def endpoint_headers(
        call: serving.Call, options: platform.SendOptions, body_bytes: int
    ) -> list[tuple[bytes, bytes]]:
        return usual(call, dataclasses.replace(options, team=''), body_bytes)

    platform.endpoint_headers = endpoint_headers


def deny() -> None:
    """Deny what is refused."""
    setattr(_in_flight, 'UNAVAILABLE', _NOT_FOUND)  # noqa: B010


def _ignore(changes: dict[str, object]) -> None:
    """Read answers as if endpoints did not state something of themselves."""
    usual = platform.decode_answer_head

    def decode(
        status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> serving.AnswerHead:
        head = usual(status, headers)
        statement = dataclasses.replace(
            head.statement,
            **changes,  # type: ignore[arg-type]
        )
        return dataclasses.replace(head, statement=statement)

    platform.decode_answer_head = decode


def limit() -> None:
    """Ignore the limits of endpoints."""
    _ignore({'limit_per_s': None})


def rest() -> None:
    """Ignore the rest that endpoints ask for."""
    _ignore({'backoff_s': None})


def leaving() -> None:
    """Ignore that endpoints leave."""
    _ignore({'leaving': False})
