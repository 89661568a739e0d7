"""Tests of the identities of prompt parts."""

import pytest

from lentilspool import serving


def prompt_of(*keys: str) -> serving.Prompt:
    parts = tuple(serving.PromptPart(key, 10) for key in keys)
    return serving.Prompt('m', 100, 10, parts)


class TestSharedParts:
    @pytest.mark.parametrize(
        ('prompt', 'expected'),
        [
            (None, ()),
            (prompt_of(), ()),
            (prompt_of('last'), ()),
            (prompt_of('first', 'middle', 'last'), ('first', 'middle')),
            (prompt_of('first', 'first', 'last'), ('first',)),
        ],
    )
    def test_all_parts_but_the_last_are_shared(
        self, prompt: serving.Prompt | None, expected: tuple[str, ...]
    ) -> None:
        assert serving.shared_parts(prompt) == expected

    @pytest.mark.parametrize('count', [15, 16, 17, 40, 1000])
    def test_parts_at_all_places_are_examined(self, count: int) -> None:
        """Guards against fatal parts after the first ones of a prompt."""
        keys = [f'{number}' for number in range(count)]
        assert serving.shared_parts(prompt_of(*keys)) == tuple(keys[:-1])

    def test_length_is_bounded(self) -> None:
        keys = [f'{number}-{"k" * 1000}' for number in range(1000)]
        parts = serving.shared_parts(prompt_of(*keys))
        assert len(set(parts)) == 999
        assert max(map(len, parts)) <= 64
