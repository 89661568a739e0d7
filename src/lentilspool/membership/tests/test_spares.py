from lentilspool.membership import _spares


class TestSpareSelector:
    def test_unreachable_spare_is_followed_by_next(self) -> None:
        spares = _spares.SpareSelector(2)
        steps = ((0, 'a'), (3, 'ab'), (6, 'abc'), (9, 'abcd'))
        for now, expected in steps:
            chosen = spares.choose(
                ('a',), lambda: 'abcd', lambda name: False, now
            )
            assert ''.join(chosen) == expected

    def test_no_further_spare_while_one_has_a_lease(self) -> None:
        spares = _spares.SpareSelector(2)
        for now in (0, 3, 6, 9):
            chosen = spares.choose(
                ('a',), lambda: 'abcd', lambda name: name == 'b', now
            )
        assert chosen == ('a', 'b')
