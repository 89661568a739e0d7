"""Tests of the plug-in registry and of the pause detector."""

import pytest

from lentilspool import kernel

KIND = kernel.PluginKind.routing_policy


class TestRegistry:
    def test_find_returns_registered_plugin(self) -> None:
        registry = kernel.Registry()
        plugin = registry.register(KIND, 'first')(object())
        assert registry.find(KIND, 'first') is plugin

    def test_same_name_twice_is_refused(self) -> None:
        registry = kernel.Registry()
        registry.register(KIND, 'first')(object())
        with pytest.raises(ValueError, match='two plug-ins'):
            registry.register(KIND, 'first')(object())

    def test_unknown_name_error_suggests_nearest_name(self) -> None:
        registry = kernel.Registry()
        registry.register(KIND, 'round_robin')(object())
        with pytest.raises(kernel.UnknownPluginError, match='did you mean'):
            registry.find(KIND, 'round_robbin')


class TestPauseDetector:
    @pytest.mark.parametrize(
        ('gap_s', 'pauses'), [(0.5, 0), (1.0, 0), (1.5, 1)]
    )
    def test_counts_only_gaps_longer_than_the_limit(
        self, gap_s: float, pauses: int
    ) -> None:
        detector = kernel.PauseDetector(1.0, now=10.0)
        detector.measure_pause(10.0 + gap_s)
        assert detector.pause_count == pauses
