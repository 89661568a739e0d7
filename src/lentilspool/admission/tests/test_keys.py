"""Tests of idempotency keys, their homes and the published slots."""

import pytest

from lentilspool import admission, kernel

RULES = admission.KeyRules(lifetime_s=60, max_lead_s=2, clock_bound_s=5)
DAY_TABLE = 'deposits@2026-12-01T00:00:00Z/2026-12-02T00:00:00Z'
NEXT_DAY_TABLE = 'deposits@2026-12-02T00:00:00Z/2026-12-03T00:00:00Z'
DAY_START_MS = 1_796_083_200_000


def make_key(created_s: float, number: int = 0) -> admission.IdempotencyKey:
    return admission.IdempotencyKey('t', f'k{number}', int(created_s * 1000))


def make_slots(published: dict[str, tuple[str, ...]]) -> admission.KeySlots:
    parsed = admission.parse_slots(published)
    assert isinstance(parsed, admission.KeySlots), parsed
    return parsed


class TestParseKey:
    def test_reads_the_creation_time(self) -> None:
        parsed_key = admission.parse_key(
            't', '017F22E2-79B0-7CC3-98C4-DC0C0C07398F'
        )
        assert parsed_key is not None
        assert parsed_key.created_ms == 1645557742000

    @pytest.mark.parametrize(
        'text',
        ['', 'order-17', '00000000-0000-4000-8000-000000000000', 'f' * 32],
    )
    def test_text_that_is_no_uuid7_is_refused(self, text: str) -> None:
        assert admission.parse_key('t', text) is None

    @pytest.mark.parametrize(
        ('age_s', 'served'), [(-3, False), (-2, True), (60, True), (61, False)]
    )
    def test_entry_serves_a_key_for_its_lifetime(
        self, age_s: float, served: bool
    ) -> None:
        refused = admission.check_key_age(make_key(1000), RULES, 1000 + age_s)
        assert (refused is None) is served


class TestNewKeyCheck:
    @pytest.mark.parametrize(
        ('now', 'created_s', 'new'),
        [
            (71, 1020, False),  # quiet period of 72 s
            (72, 1012, False),  # margin of 12 s after the start
            (72, 1012.001, True),
            (72, 1074, True),
            (72, 1074.001, False),  # more than 2 s in the future
        ],
    )
    def test_key_is_new_if_created_after_the_start(
        self, now: float, created_s: float, new: bool
    ) -> None:
        new_key_check = admission.NewKeyCheck(RULES, 1000, 0)
        assert new_key_check.is_new(make_key(created_s), now) is new

    def test_forgotten_key_is_not_new_again(self) -> None:
        new_key_check = admission.NewKeyCheck(RULES, 1000, 0)
        new_key_check.on_key_forgotten(make_key(1050))
        assert not new_key_check.is_new(make_key(1050), 80)
        assert new_key_check.is_new(make_key(1051), 80)

    def test_pause_restarts_the_quiet_period(self) -> None:
        new_key_check = admission.NewKeyCheck(RULES, 1000, 0)
        new_key_check.on_pause(1100, 100)
        assert not new_key_check.is_new(make_key(1130), 130)
        assert new_key_check.is_new(make_key(1170), 172)


class TestKeyHome:
    def make_home(self) -> admission.KeyHome:
        ledger = admission.Ledger(
            'a:1', 1, str, admission.LedgerLimits(lifetime_s=100)
        )
        new_key_check = admission.NewKeyCheck(RULES, 1000, 0)
        return admission.KeyHome('a:1', 'deposits', ledger, new_key_check)

    def test_key_keeps_its_token_until_it_expires(self) -> None:
        home = self.make_home()
        table = make_slots({'deposits': ('a:1',)})
        first = home.issue(make_key(1080), 'd', table, 80)
        assert isinstance(first, admission.Issued)
        assert home.issue(make_key(1080), 'd', table, 179) == first
        later = home.issue(make_key(1080), 'd', table, 180)
        assert isinstance(later, admission.Refused)
        assert isinstance(later.outcome, kernel.Unknown)
        assert home.size == 0

    def test_renewed_token_is_kept_until_it_expires(self) -> None:
        home = self.make_home()
        table = make_slots({'deposits': ('a:1',)})
        first = home.issue(make_key(1080), 'd', table, 80)
        assert isinstance(first, admission.Issued)
        home.ledger.withdraw(first.token, kernel.NotRunReason.overloaded, 81)
        second = home.issue(make_key(1080), 'd', table, 82)
        assert second != first
        assert home.issue(make_key(1080), 'd', table, 181) == second
        assert isinstance(
            home.issue(make_key(1080), 'd', table, 182), admission.Refused
        )

    def test_sidecar_that_is_not_the_home_refuses(self) -> None:
        answer = self.make_home().issue(
            make_key(1080), 'd', make_slots({'deposits': ('b:1',)}), 80
        )
        assert isinstance(answer, admission.Refused)


class TestClockAssumption:
    """A key can run again after a restart only if two clocks are wrong."""

    @pytest.mark.parametrize(
        ('home_step_s', 'entry_step_s', 'second_run'),
        [
            (0, 0, False),
            (-3600, 0, False),
            (3600, 0, False),
            (0, -3600, False),
            (0, 3600, False),
            (-80, 0, False),
            (0, -90, False),
            (-80, -90, True),  # both clocks exceed clock_bound_s
        ],
    )
    def test_one_wrong_clock_allows_no_second_run(
        self, home_step_s: float, entry_step_s: float, second_run: bool
    ) -> None:
        created = make_key(1000)
        served_again = False
        new_key_check = admission.NewKeyCheck(RULES, 1001 + home_step_s, 1)
        for now in range(1, 4000):
            entry_refusal = admission.check_key_age(
                created, RULES, 1000 + now + entry_step_s
            )
            is_new_at_home = new_key_check.is_new(created, now)
            served_again |= entry_refusal is None and is_new_at_home
        assert served_again is second_run


class TestKeySlots:
    def test_home_follows_from_key_and_interval(self) -> None:
        current = make_slots(
            {DAY_TABLE: ('a', 'b', 'c'), NEXT_DAY_TABLE: ('d',)}
        )
        homes = {
            current.home('deposits', make_key(DAY_START_MS / 1000, number))
            for number in range(50)
        }
        assert homes == {'a', 'b', 'c'}
        assert (
            current.home('deposits', make_key(DAY_START_MS / 1000 + 86400))
            == 'd'
        )
        assert (
            current.home('deposits', make_key(DAY_START_MS / 1000 - 1)) is None
        )
        assert current.home('orders', make_key(DAY_START_MS / 1000)) is None

    @pytest.mark.parametrize(
        'published',
        [
            {DAY_TABLE: ()},
            {'p@2026-12-01T00:00:00Z': ('a',)},
            {'p@2026-12-01T00:00:00/2026-12-02T00:00:00': ('a',)},
            {'p@2026-12-02T00:00:00Z/2026-12-01T00:00:00Z': ('a',)},
            {'deposits': ('a',), DAY_TABLE: ('b',)},
        ],
    )
    def test_invalid_tables_are_refused(
        self, published: dict[str, tuple[str, ...]]
    ) -> None:
        assert isinstance(admission.parse_slots(published), admission.SlotFault)

    @pytest.mark.parametrize(
        ('current', 'proposed', 'allowed'),
        [
            (
                {DAY_TABLE: ('a',)},
                {DAY_TABLE: ('a',), NEXT_DAY_TABLE: ('b',)},
                True,
            ),
            (
                {DAY_TABLE: ('a',), NEXT_DAY_TABLE: ('b',)},
                {NEXT_DAY_TABLE: ('b',)},
                True,
            ),
            ({DAY_TABLE: ('a',)}, {DAY_TABLE: ('b',)}, False),
            ({DAY_TABLE: ('a',)}, {NEXT_DAY_TABLE: ('b',)}, False),
            (
                {NEXT_DAY_TABLE: ('a',)},
                {DAY_TABLE: ('b',), NEXT_DAY_TABLE: ('a',)},
                False,
            ),
            ({'deposits': ('a',)}, {'deposits': ('b',)}, False),
            ({}, {'deposits': ('b',)}, True),
        ],
    )
    def test_change_that_gives_a_key_a_second_home_is_refused(
        self,
        current: dict[str, tuple[str, ...]],
        proposed: dict[str, tuple[str, ...]],
        allowed: bool,
    ) -> None:
        fault = admission.check_slot_change(
            make_slots(current), make_slots(proposed)
        )
        assert (fault is None) is allowed
