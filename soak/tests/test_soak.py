"""A short run of the soak, and tests of what it takes for broken."""

import dataclasses
import functools

import pytest
import trio

from lentilspool.gateway import _http_server
from lentilspool.platform.tests import stand_ins
from soak import _findings, _planned_work, _run, _statement_drills

# Findings about time; a busy machine may be late.
_LIVENESS = ('recover', 'start')
# The usual short seed, and every seed that ever failed, with its cause.
SEEDS = (3,)
# Plans that broke a rule; the moments of a run differ from play to play.
STOPS = _run.Plan(
    1, seconds=10, gateways=4, callers=16, only=('stop_many', 'slow')
)
PART = _run.Plan(3, seconds=18, gateways=3, callers=12, only=('fatal_part',))
STATED = _run.Plan(
    1, seconds=12, gateways=3, callers=12, only=_statement_drills.NAMES
)
ASKED = _findings.Asked('r', 'brides', b'/once/r', b'b', 'desk', False)


@functools.cache
def played(seed: int, only: tuple[str, ...] = ()) -> _findings.Findings:
    """Return what a short run of a seed finds."""
    plan = _run.Plan(
        seed, seconds=4, gateways=2, callers=4, only=only, settle_s=1
    )
    findings, _ = trio.run(_run.run, plan)
    return findings


class TestSoak:
    """Real gateways under faults; what they promise holds meanwhile."""

    @pytest.mark.parametrize('seed', SEEDS)
    def test_no_promise_is_broken(self, seed: int) -> None:
        broken = [
            one for one in played(seed).broken if not one.startswith(_LIVENESS)
        ]
        assert not broken

    @pytest.mark.parametrize('seed', SEEDS)
    def test_no_rule_is_broken(self, seed: int) -> None:
        assert not played(seed).judged

    @pytest.mark.parametrize(
        'plan',
        [
            # Streams taken 4 s after SIGTERM were cut off by the stop.
            pytest.param(STOPS, id='series of stops'),
            # New requests with one part ended engine after engine.
            pytest.param(PART, id='fatal part'),
            # What endpoints state of themselves was not read.
            pytest.param(STATED, id='statements'),
        ],
    )
    def test_plan_that_broke_a_rule_breaks_none(self, plan: _run.Plan) -> None:
        short = dataclasses.replace(plan, settle_s=1)
        findings, _ = trio.run(_run.run, short)
        assert not findings.judged

    @pytest.mark.parametrize('seed', SEEDS)
    def test_planned_work_breaks_no_rule(self, seed: int) -> None:
        assert not played(seed, _planned_work.NAMES).judged


class TestFindings:
    def test_answer_of_another_request_is_found(self) -> None:
        body = _findings.body_of('other')
        assert self.broken(200, body, 'stamp') == ['mixed']

    def test_refusal_of_a_request_that_ran_is_found(self) -> None:
        assert self.broken(503, b'', '', ran=1) == ['refused']

    def test_second_run_is_found(self) -> None:
        assert self.broken(502, b'', '', ran=2) == ['twice']

    def test_right_answer_breaks_nothing(self) -> None:
        body = _findings.body_of('r')
        assert not self.broken(200, body, 'stamp', ran=1)

    @pytest.mark.parametrize(
        ('versions', 'whole', 'found'),
        [
            ('aaaaaaaa', True, []),
            ('aaabbbbb', True, ['mixed']),
            ('aaab', False, ['order']),
            ('aaa', False, []),
            ('', False, []),
        ],
    )
    def test_events_of_two_versions_are_found(
        self, versions: str, whole: bool, found: list[str]
    ) -> None:
        assert self.broken_stream(versions, 3, whole) == found

    def test_whole_events_of_a_broken_stream_are_kept(self) -> None:
        one = _findings.event_of('r', 1, 'v1.1')
        assert _findings.whole_events(one + one[:-1]) == one
        assert _findings.whole_events(one[:-1]) == b''

    def test_inputs_of_another_stage_are_found(self) -> None:
        async def check() -> None:
            findings = _findings.Findings()
            findings.asks(
                _findings.Asked('r', 't', b'', b'', 'model', False, (1, 2))
            )
            findings.made('h', stand_ins.Piece('r', 1, 0, ()))
            findings.piece(stand_ins.Piece('r', 1, 1, ('h',)))
            assert findings.broken

        trio.run(check)

    def broken_stream(
        self, versions: str, received: int, whole: bool
    ) -> list[str]:
        """Return what is found if a caller took up a stream.

        ``versions`` has a letter for each event, of which the caller had some
        before.
        """
        names = dict(zip('ab', _findings.VERSIONS))
        events = [
            _findings.event_of('r', number, names[letter])
            for number, letter in enumerate(versions, 1)
        ]
        asked = _findings.Asked(
            'r2',
            't',
            b'',
            b'',
            'model',
            True,
            (1,),
            resumed_id='r',
            received=b''.join(events[:received]),
        )
        findings = _findings.Findings()

        async def check() -> None:
            findings.asks(asked)
            body = b''.join(events[received:])
            if whole:
                findings.answered(asked, 200, body, 'stamp')
            else:
                findings.unanswered(asked, 'broken', body)

        trio.run(check)
        return [one.partition(':')[0] for one in findings.broken]

    def broken(
        self, status: int, body: bytes, stamp: str, ran: int = 0
    ) -> list[str]:
        findings = _findings.Findings()

        async def check() -> None:
            findings.asks(ASKED)
            for _ in range(ran):
                findings.ran(_Desk(), _SENT, _REQUEST)
            findings.answered(ASKED, status, body, stamp)

        trio.run(check)
        return [one.partition(':')[0] for one in findings.broken]


class _Desk:
    name = 'desk-1'
    service = 'desk'


_SENT = stand_ins.EndpointRequest('r', 'brides', '', 'desk-1', None, 0)
_REQUEST = _http_server.Request(b'POST', b'/once/r', (), b'b')
