"""Tests of signing and verifying admission tokens."""

import dataclasses

import pytest

from lentilspool import admission, kernel

OLD_KEY = b'old-key-of-16-bytes'
NEW_KEY = b'new-key-of-16-bytes'
TOKEN = admission.AdmissionToken('10.0.0.1:7', 5, 'r1', 'abc', 1.5, 9.5)


class TestTokenSigner:
    @pytest.mark.parametrize(
        ('signer', 'verifier'),
        [
            (admission.TokenSigner(OLD_KEY), admission.TokenSigner(OLD_KEY)),
            (
                admission.TokenSigner(OLD_KEY),
                admission.TokenSigner(NEW_KEY, OLD_KEY),
            ),
            (
                admission.TokenSigner(OLD_KEY, NEW_KEY),
                admission.TokenSigner(NEW_KEY, OLD_KEY),
            ),
        ],
    )
    def test_token_is_valid_during_key_rotation(
        self, signer: admission.TokenSigner, verifier: admission.TokenSigner
    ) -> None:
        assert verifier.verify(signer.sign(TOKEN)) == TOKEN

    def test_token_of_removed_key_is_unknown(self) -> None:
        text = admission.TokenSigner(OLD_KEY).sign(TOKEN)
        refused = admission.TokenSigner(NEW_KEY).verify(text)
        assert isinstance(refused, admission.TokenRefused)
        assert refused.problem is admission.TokenProblem.bad_signature
        assert isinstance(refused.outcome, kernel.Unknown)

    @pytest.mark.parametrize(
        'text', ['', 'x', 'a b', 'é', 'A' * 40, 'A' * 2000]
    )
    def test_text_that_is_no_token_is_refused(self, text: str) -> None:
        refused = admission.TokenSigner(NEW_KEY).verify(text)
        assert isinstance(refused, admission.TokenRefused)

    def test_any_changed_character_is_refused(self) -> None:
        signer = admission.TokenSigner(OLD_KEY)
        text = signer.sign(TOKEN)
        for index, char in enumerate(text[:-1]):
            other = 'A' if char != 'A' else 'B'
            changed = f'{text[:index]}{other}{text[index + 1 :]}'
            assert isinstance(signer.verify(changed), admission.TokenRefused)

    def test_incarnation_changes_the_signed_text(self) -> None:
        signer = admission.TokenSigner(OLD_KEY)
        other = dataclasses.replace(TOKEN, incarnation=6)
        assert signer.sign(other) != signer.sign(TOKEN)

    def test_short_key_is_refused(self) -> None:
        with pytest.raises(ValueError, match='16 bytes'):
            admission.TokenSigner(b'short')
