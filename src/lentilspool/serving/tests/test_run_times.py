"""Tests of the foreseen duration of runs and of what a stop admits."""

import pytest

from lentilspool import serving

PACE_S = 0.02
TOKENS = 100
EVENTS = 20


def endpoint(name: str, service: str = 'model') -> serving.Endpoint:
    return serving.Endpoint(name, service, '10.0.0.1', 80, 'a', 8, True, 1)


def route(
    name: str = 'draft',
    kind: serving.RouteKind = serving.RouteKind.streaming,
) -> serving.Route:
    return serving.Route(
        name=name,
        host='h',
        prefix='/',
        kind=kind,
        shares=(serving.ServiceShare('model', 1),),
        timeout_s=9,
        target_s=1,
    )


def stream(
    times: serving.RunTimes,
    at: serving.Endpoint,
    begun_at: float,
    *,
    first_s: float = 0.1,
    pace_s: float = PACE_S,
    events: int = EVENTS,
) -> float:
    """Record a complete stream; return when it ended."""
    run = times.begin('draft', at, TOKENS, begun_at)
    now = begun_at + first_s
    for _ in range(events):
        run.add_events(1, now)
        now += pace_s
    times.end(run, now, complete=True)
    return now


def expect(
    times: serving.RunTimes,
    tokens: int,
    now: float,
    incarnation: str = '',
    quantile: float = 0.9,
) -> serving.ExpectedRun:
    estimate = serving.Estimate('model', quantile, incarnation)
    return times.expected(route(), tokens, now, estimate)


class TestExpectedRun:
    def test_unknown_engine_has_the_target_and_a_slow_pace(self) -> None:
        expected = expect(serving.RunTimes(), TOKENS, 0)
        assert expected.first_event_s == 1
        assert expected.rest_s == pytest.approx(2.5)

    def test_unknown_stream_without_a_prompt_may_last_its_timeout(self) -> None:
        expected = expect(serving.RunTimes(), 0, 0)
        assert expected.rest_s == route().timeout_s

    def test_stream_of_a_new_route_may_last_its_timeout(self) -> None:
        estimate = serving.CAREFUL.estimate('model')
        expected = serving.RunTimes().expected(route(), TOKENS, 0, estimate)
        assert expected.rest_s == route().timeout_s

    @pytest.mark.parametrize('long_streams', [0, 1, 50])
    @pytest.mark.parametrize('tokens', [1, TOKENS, 10 * TOKENS])
    def test_careful_estimate_has_an_event_for_each_token(
        self, long_streams: int, tokens: int
    ) -> None:
        """Guards against lengths that follow those of recent streams."""
        times = serving.RunTimes()
        for number in range(50 + long_streams):
            events = EVENTS if number < 50 else TOKENS
            now = stream(times, endpoint('e'), 0, events=events)
        estimate = serving.CAREFUL.estimate('model')
        expected = times.expected(route(), tokens, now, estimate)
        assert expected.rest_s == pytest.approx(tokens * PACE_S)

    def test_careful_estimate_follows_the_slowest_stream(self) -> None:
        times = serving.RunTimes()
        for _ in range(99):
            stream(times, endpoint('e'), 0)
        now = stream(times, endpoint('e'), 0, pace_s=0.2)
        estimate = serving.CAREFUL.estimate('model')
        expected = times.expected(route(), TOKENS, now, estimate)
        assert expected.rest_s == pytest.approx(TOKENS * 0.2)

    def test_careful_estimate_without_tokens_is_the_timeout(self) -> None:
        times = serving.RunTimes()
        now = stream(times, endpoint('e'), 0)
        estimate = serving.CAREFUL.estimate('model')
        expected = times.expected(route(), 0, now, estimate)
        assert expected.rest_s == route().timeout_s

    def test_stream_without_a_prompt_follows_recent_ones(self) -> None:
        times = serving.RunTimes()
        run = times.begin('draft', endpoint('e'), 0, 0)
        for number in range(EVENTS):
            run.add_events(1, number * PACE_S)
        times.end(run, EVENTS * PACE_S, complete=True)
        expected = expect(times, 0, EVENTS * PACE_S)
        assert expected.rest_s == pytest.approx(EVENTS * PACE_S)

    def test_follows_recent_streams(self) -> None:
        times = serving.RunTimes()
        now = stream(times, endpoint('e'), 0)
        expected = expect(times, TOKENS, now)
        assert expected.first_event_s == pytest.approx(0.1)
        assert expected.rest_s == pytest.approx(EVENTS * PACE_S)

    def test_resumed_streams_show_no_length(self) -> None:
        times = serving.RunTimes()
        now = stream(times, endpoint('e'), 0)
        for _ in range(20):
            run = times.begin('draft', endpoint('e'), None, now)
            run.add_events(1, now + 0.1)
            run.add_events(1, now + 0.1 + PACE_S)
            times.end(run, now + 0.1 + PACE_S, complete=True)
        expected = expect(times, TOKENS, now + 0.2)
        assert expected.rest_s == pytest.approx(EVENTS * PACE_S)

    def test_grows_with_the_tokens(self) -> None:
        times = serving.RunTimes()
        now = stream(times, endpoint('e'), 0)
        expected = expect(times, 3 * TOKENS, now)
        assert expected.rest_s == pytest.approx(3 * EVENTS * PACE_S)

    def test_old_streams_are_forgotten(self) -> None:
        times = serving.RunTimes()
        now = stream(times, endpoint('e'), 0)
        expected = expect(times, TOKENS, now + 11)
        assert expected.rest_s == pytest.approx(2.5)

    def test_one_slow_engine_counts_where_it_is_chosen(self) -> None:
        times = serving.RunTimes()
        for _ in range(20):
            stream(times, endpoint('e'), 0)
        now = stream(times, endpoint('slow'), 0, pace_s=0.2)
        anywhere = expect(times, TOKENS, now)
        slow = endpoint('slow').incarnation
        there = expect(times, TOKENS, now, slow)
        assert anywhere.rest_s == pytest.approx(EVENTS * PACE_S)
        assert there.rest_s == pytest.approx(EVENTS * 0.2)

    def test_open_stream_shows_an_engine_that_turned_slow(self) -> None:
        times = serving.RunTimes()
        stream(times, endpoint('e'), 0)
        run = times.begin('draft', endpoint('e'), TOKENS, 0)
        run.add_events(2, 0.1)
        expected = expect(times, TOKENS, 1.1)
        assert expected.rest_s == pytest.approx(EVENTS * 0.5)

    def test_late_begin_at_one_engine_counts_where_it_is_chosen(self) -> None:
        times = serving.RunTimes()
        for _ in range(20):
            stream(times, endpoint('e'), 0)
        now = stream(times, endpoint('slow'), 0, first_s=1.5)
        anywhere = expect(times, TOKENS, now)
        slow = endpoint('slow').incarnation
        there = expect(times, TOKENS, now, slow)
        assert anywhere.first_event_s == pytest.approx(0.1)
        assert there.first_event_s == pytest.approx(1.5)

    def test_open_stream_has_the_pace_of_its_events(self) -> None:
        times = serving.RunTimes()
        stream(times, endpoint('e'), 0)
        run = times.begin('draft', endpoint('e'), TOKENS, 0)
        run.add_events(1, 0.1)
        run.add_events(1, 0.3)
        expected = expect(times, TOKENS, 0.3)
        assert expected.rest_s == pytest.approx(EVENTS * 0.2)

    def test_open_stream_counts_the_wait_for_its_second_event(self) -> None:
        times = serving.RunTimes()
        stream(times, endpoint('e'), 0)
        run = times.begin('draft', endpoint('e'), TOKENS, 0)
        run.add_events(1, 0.1)
        expected = expect(times, TOKENS, 2.1)
        assert expected.rest_s == pytest.approx(EVENTS * 2)

    def test_open_stream_that_has_just_begun_shows_no_pace(self) -> None:
        times = serving.RunTimes()
        stream(times, endpoint('e'), 0)
        for _ in range(20):
            run = times.begin('draft', endpoint('e'), TOKENS, 0)
            run.add_events(1, 0.1)
        expected = expect(times, TOKENS, 0.101)
        assert expected.rest_s == pytest.approx(EVENTS * PACE_S)

    def test_open_run_without_an_event_counts_its_wait(self) -> None:
        times = serving.RunTimes()
        stream(times, endpoint('e'), 0)
        times.begin('draft', endpoint('e'), TOKENS, 0)
        expected = expect(times, TOKENS, 3)
        assert expected.first_event_s == 3

    def test_open_run_that_was_just_sent_shows_nothing(self) -> None:
        times = serving.RunTimes()
        times.begin('draft', endpoint('e'), TOKENS, 0)
        expected = expect(times, TOKENS, 0.01)
        assert expected.first_event_s == 1

    def test_open_runs_that_were_just_sent_hide_no_slow_begin(self) -> None:
        times = serving.RunTimes()
        for _ in range(3):
            now = stream(times, endpoint('e'), 0, first_s=1.5)
        for _ in range(30):
            times.begin('draft', endpoint('e'), TOKENS, now - 0.05)
        expected = expect(times, TOKENS, now)
        assert expected.first_event_s == pytest.approx(1.5)

    def test_run_that_never_began_shows_nothing(self) -> None:
        times = serving.RunTimes()
        run = times.begin('draft', endpoint('e'), TOKENS, 0)
        times.end(run, 0.001, complete=False)
        expected = expect(times, TOKENS, 0.1)
        assert expected.first_event_s == 1

    def test_unary_route_ends_with_its_answer(self) -> None:
        times = serving.RunTimes()
        run = times.begin('look', endpoint('e'), 0, 0)
        times.end(run, 0.3, complete=True)
        unary = route('look', serving.RouteKind.unsafe)
        expected = times.expected(unary, 0, 1, serving.Estimate('model', 0.9))
        assert expected == serving.ExpectedRun(0.3, 0)

    def test_usual_estimate_leaves_slow_engines_aside(self) -> None:
        times = serving.RunTimes()
        for _ in range(3):
            stream(times, endpoint('e'), 0)
        for _ in range(2):
            now = stream(times, endpoint('slow'), 0, pace_s=0.2)
        usual = expect(times, TOKENS, now, quantile=0.5)
        careful = expect(times, TOKENS, now)
        assert usual.rest_s == pytest.approx(EVENTS * PACE_S)
        assert careful.rest_s == pytest.approx(EVENTS * 0.2)


class TestStopAdmission:
    @pytest.mark.parametrize(
        ('admission', 'expected', 'streaming', 'needed_s'),
        [
            (serving.CAREFUL, serving.ExpectedRun(0.4, 0.8), True, 4.0),
            (serving.USUAL, serving.ExpectedRun(0.4, 0.8), True, 1.6),
            (serving.CAREFUL, serving.ExpectedRun(0.4, 0), False, 0.9),
            (serving.CAREFUL, serving.ExpectedRun(0, 0), True, 1.6),
        ],
        ids=['careful-stream', 'usual-stream', 'unary', 'silence'],
    )
    def test_needs_a_margin_and_a_reserve(
        self,
        admission: serving.StopAdmission,
        expected: serving.ExpectedRun,
        streaming: bool,
        needed_s: float,
    ) -> None:
        found = admission.needed_s(expected, streaming=streaming)
        assert found == pytest.approx(needed_s)
