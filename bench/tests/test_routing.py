from bench import routing


class TestRouting:
    def test_arms_serve_the_same_requests_and_output_repeats(self) -> None:
        first = list(routing.run(seed=3, endpoints=5, duration=8.0))
        assert first == list(routing.run(seed=3, endpoints=5, duration=8.0))
        assert len({arm['requests'] for arm in first}) == 1
        ours, bound = first[:2]
        assert bound['prefill_ratio'] == 1
        least = first[-2]
        assert least['arm'] == 'least_outstanding'
        assert float(str(ours['prefill_ratio'])) < float(
            str(least['prefill_ratio'])
        )
