from lentilspool.membership import _spares


class TestContacts:
    def test_silent_spare_is_followed_by_the_next(self) -> None:
        contacts = _spares.SpareSelector(2)
        steps = ((0, 'a'), (3, 'ab'), (6, 'abc'), (9, 'abcd'))
        for now, expected in steps:
            chosen = contacts.choose(
                ('a',), lambda: 'abcd', lambda name: False, now
            )
            assert ''.join(chosen) == expected

    def test_live_spare_ends_the_search(self) -> None:
        contacts = _spares.SpareSelector(2)
        for now in (0, 3, 6, 9):
            chosen = contacts.choose(
                ('a',), lambda: 'abcd', lambda name: name == 'b', now
            )
        assert chosen == ('a', 'b')
