from bench import herd


class TestHerd:
    def test_offers_shorten_the_queue_and_output_repeats(self) -> None:
        first = list(herd.run(seed=3, entries=8, endpoints=8, duration=8.0))
        assert first == list(
            herd.run(seed=3, entries=8, endpoints=8, duration=8.0)
        )
        assert len({arm['requests'] for arm in first}) == 1
        bound, ours, plain = first[:3]
        waits = [
            float(str(arm['p99_queue_seconds'])) for arm in (bound, ours, plain)
        ]
        assert waits == sorted(waits)
