"""Tests of expected times that are corrected by observed times."""

import pytest

from lentilspool import serving
from lentilspool.serving import _estimates, _forecast, _jobs, _stage_service
from lentilspool.serving.tests import builders

SEARCH = builders.endpoint('s1', 'search')


class TestForecast:
    def test_initial_factor_includes_waits(self) -> None:
        assert 1 < _forecast.Forecast().corrected(1) < 2

    @pytest.mark.parametrize(
        ('ratio', 'factor'), [(1.5, 1.5), (0.2, 1.0), (50, 3.0), (1, 1.0)]
    )
    def test_factor_follows_observed_ratio(
        self, ratio: float, factor: float
    ) -> None:
        forecast = _forecast.Forecast()
        for _ in range(200):
            forecast.record(0.5, 0.5 * ratio)
        assert round(forecast.factor, 1) == factor

    def test_one_stuck_request_changes_factor_little(self) -> None:
        forecast = _forecast.Forecast()
        before = forecast.factor
        forecast.record(0.5, 9)
        assert round((forecast.factor - before) * 100) < 10


class TestHeldBack:
    """Requests take longer than expected, and pieces of another one wait.

    A request that would be late must not take up stage capacity.
    """

    def job(self, key: str, pieces: int) -> _jobs.Job:
        plan_request = builders.plan_request(
            key, builders.stage(pieces), target_s=1
        )
        return _jobs.Job(plan_request, 0)

    @pytest.mark.parametrize(('ratio', 'started'), [(1, True), (2, False)])
    def test_request_is_held_back_if_corrected_time_is_late(
        self, ratio: float, started: bool
    ) -> None:
        forecast = _forecast.Forecast()
        for _ in range(200):
            forecast.record(0.5, 0.5 * ratio)
        limits = serving.PlanLimits()
        service = _stage_service.StageService(
            builders.BATCHES, limits, serving.EndpointStatements()
        )
        service.update_endpoints((SEARCH,), builders.BATCHES)
        ahead = self.job('ahead', 8)
        ahead.begun = True
        new = self.job('new', 1)
        chosen = _estimates.startable(
            [ahead, new], {'search': service}, limits, 0, forecast
        )
        assert (new in chosen) is started
