from bench import silent


class TestSilent:
    def test_bounds_hold_and_output_repeats(self) -> None:
        first = list(silent.run(seed=3, duration=60.0))
        assert first == list(silent.run(seed=3, duration=60.0))
        ours = first[0]
        assert ours['arm'] == 'lentilspool'
        assert float(str(ours['p99_seconds'])) <= 2
        assert ours['false_judgements'] == 0
        assert ours['dead_endpoint_seconds']
