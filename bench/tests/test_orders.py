from bench import orders


class TestOrders:
    def test_ours_converges_within_the_limits(self) -> None:
        ours = next(iter(orders.run(seed=1, endpoints=8)))
        assert ours['arm'] == 'lentilspool'
        assert ours['converged'] == 1
        assert ours['weight_limit_exceeded'] == 0
