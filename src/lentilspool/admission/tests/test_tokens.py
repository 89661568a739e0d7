"""Tests of admission tokens."""

import dataclasses

import pytest

from lentilspool import admission, kernel

OLD = b'old-key-of-16-bytes'
NEW = b'new-key-of-16-bytes'
TOKEN = admission.AdmissionToken('10.0.0.1:7', 5, 'r1', 'abc', 1.5, 9.5)


class TestTokenSigner:
    @pytest.mark.parametrize(
        ('signer', 'reader'),
        [
            (admission.TokenSigner(OLD), admission.TokenSigner(OLD)),
            (admission.TokenSigner(OLD), admission.TokenSigner(NEW, OLD)),
            (admission.TokenSigner(OLD, NEW), admission.TokenSigner(NEW, OLD)),
        ],
    )
    def test_survives_a_rotation(
        self, signer: admission.TokenSigner, reader: admission.TokenSigner
    ) -> None:
        assert reader.verify(signer.sign(TOKEN)) == TOKEN

    def test_rotated_out_key_may_have_run(self) -> None:
        text = admission.TokenSigner(OLD).sign(TOKEN)
        refused = admission.TokenSigner(NEW).verify(text)
        assert isinstance(refused, admission.TokenRefused)
        assert refused.problem is admission.TokenProblem.bad_signature
        assert isinstance(refused.outcome, kernel.Unknown)

    @pytest.mark.parametrize(
        'text', ['', 'x', 'a b', 'é', 'A' * 40, 'A' * 2000]
    )
    def test_other_text_is_refused(self, text: str) -> None:
        refused = admission.TokenSigner(NEW).verify(text)
        assert isinstance(refused, admission.TokenRefused)

    def test_each_changed_character_is_refused(self) -> None:
        signer = admission.TokenSigner(OLD)
        text = signer.sign(TOKEN)
        for index, char in enumerate(text[:-1]):
            other = 'A' if char != 'A' else 'B'
            changed = f'{text[:index]}{other}{text[index + 1 :]}'
            assert isinstance(signer.verify(changed), admission.TokenRefused)

    def test_other_incarnation_is_another_text(self) -> None:
        signer = admission.TokenSigner(OLD)
        other = dataclasses.replace(TOKEN, incarnation=6)
        assert signer.sign(other) != signer.sign(TOKEN)

    def test_short_key_is_refused(self) -> None:
        with pytest.raises(ValueError, match='16 bytes'):
            admission.TokenSigner(b'short')
