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

    def test_number_and_length_are_bounded(self) -> None:
        keys = [f'{number}-{"k" * 1000}' for number in range(1000)]
        parts = serving.shared_parts(prompt_of(*keys))
        assert len(parts) == 16
        assert len(set(parts)) == 16
        assert max(map(len, parts)) <= 64
