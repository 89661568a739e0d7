"""The fold: one published entry after another makes numbered versions.

The result depends on the bytes of the entries alone, so every process that
has read the same entries holds the same version, digest and verdicts.
"""

import dataclasses
import hashlib
from typing import Final

from lentilspool.config import (
    _check,
    _document,
    _entries,
    _merge,
    _problems,
    _slots,
    _verdicts,
)

# Versions back to which a patch may refer.
_CONFLICT_WINDOW: Final = 256
_MAX_DOCUMENT_BYTES: Final = 1_000_000
_DIGEST_BYTES: Final = 16


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The configuration in force after one published entry."""

    number: int
    """Position in the published log up to which entries are folded."""

    version: int
    """Number of the version; every accepted patch adds one."""

    digest: str
    """Digest over all entries since the base, and their versions."""

    document: _document.Document
    """The typed document."""

    text: bytes
    """The document as canonical JSON."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What an accepted patch touched."""

    version: int
    """The version that it made."""

    paths: tuple[_merge.Path, ...]
    """Paths that it set or removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of folding one entry."""

    state: State
    """State after the entry."""

    changes: tuple[Change, ...]
    """Latest changes since the base, the oldest first."""

    verdict: _verdicts.Verdict
    """What became of the entry."""


class InvalidBaseError(ValueError):
    """A base whose document breaks a rule; the log ends before it."""


def start(
    base: _entries.Base, raw: bytes, known: _problems.KnownNames | None
) -> Step:
    """Return the state at a base; raises ``InvalidBaseError``."""
    text = _entries.encode_entry(base.document)
    checked = _checked(_check.typed(base.document), text, known)
    if isinstance(checked, _problems.Problem):
        raise InvalidBaseError(f'{checked.path}: {checked.detail}')
    state = State(
        number=base.number,
        version=base.number,
        digest=_chain('', base.number, raw),
        document=checked,
        text=text,
    )
    verdict = _verdicts.EntryAccepted(base.number, base.number, '')
    return Step(state, (), verdict)


def advance(
    step: Step,
    entry: _entries.Patch | _entries.Malformed,
    raw: bytes,
    known: _problems.KnownNames | None,
) -> Step:
    """Return the step after the next entry of the log."""
    if isinstance(entry, _entries.Malformed):
        problem = _problems.Problem('$', entry.problem)
        reason = _verdicts.RefusalReason.invalid
        return _refuse(step, entry.number, '', raw, (reason, problem))
    refusal = _refusal(step, entry)
    if refusal is not None:
        return _refuse(step, entry.number, entry.author, raw, refusal)
    plain = _merge.merged(step.state.text, entry.merge)
    text = _entries.encode_entry(plain)
    paths = _merge.touched(entry.merge)
    document = _check.retyped(step.state.document, plain, paths)
    checked = _checked(document, text, known)
    if isinstance(checked, _document.Document):
        held = step.state.document
        checked = _slots.slot_problem(held, checked) or checked
    if isinstance(checked, _problems.Problem):
        reason = _verdicts.RefusalReason.invalid
        return _refuse(step, entry.number, entry.author, raw, (reason, checked))
    return _accept(step, entry, raw, checked, text)


def _refusal(
    step: Step, patch: _entries.Patch
) -> tuple[_verdicts.RefusalReason, _problems.Problem] | None:
    version = step.state.version
    if patch.against > version:
        detail = f'version {patch.against} does not exist yet'
        problem = _problems.Problem('against', detail)
        return _verdicts.RefusalReason.invalid, problem
    oldest = step.changes[0].version - 1 if step.changes else version
    if patch.against < oldest:
        detail = f'made against {patch.against}; the oldest usable is {oldest}'
        problem = _problems.Problem('against', detail)
        return _verdicts.RefusalReason.stale, problem
    return _conflict(step, patch)


def _conflict(
    step: Step, patch: _entries.Patch
) -> tuple[_verdicts.RefusalReason, _problems.Problem] | None:
    mine = _merge.touched(patch.merge)
    for change in reversed(step.changes):
        if change.version <= patch.against:
            return None
        for path in mine:
            if any(_merge.overlap(path, other) for other in change.paths):
                problem = _problems.Problem(
                    _merge.dotted(path),
                    f'changed by version {change.version}, after '
                    f'{patch.against}',
                )
                return _verdicts.RefusalReason.conflict, problem
    return None


def _accept(
    step: Step,
    patch: _entries.Patch,
    raw: bytes,
    document: _document.Document,
    text: bytes,
) -> Step:
    version = step.state.version + 1
    state = State(
        number=patch.number,
        version=version,
        digest=_chain(step.state.digest, version, raw),
        document=document,
        text=text,
    )
    change = Change(version, _merge.touched(patch.merge))
    verdict = _verdicts.EntryAccepted(patch.number, version, patch.author)
    recent = step.changes[1 - _CONFLICT_WINDOW :]
    return Step(state, (*recent, change), verdict)


def _refuse(
    step: Step,
    number: int,
    author: str,
    raw: bytes,
    refusal: tuple[_verdicts.RefusalReason, _problems.Problem],
) -> Step:
    reason, problem = refusal
    version = step.state.version
    state = dataclasses.replace(
        step.state,
        number=number,
        digest=_chain(step.state.digest, version, raw),
    )
    verdict = _verdicts.EntryRefused(
        number, version, author, reason, problem.path, problem.detail
    )
    return Step(state, step.changes, verdict)


def _checked(
    document: _document.Document | _problems.Problem,
    text: bytes,
    known: _problems.KnownNames | None,
) -> _document.Document | _problems.Problem:
    if len(text) > _MAX_DOCUMENT_BYTES:
        detail = f'{len(text)} bytes; at most {_MAX_DOCUMENT_BYTES}'
        return _problems.Problem('$', detail)
    if isinstance(document, _problems.Problem):
        return document
    problems = _check.check(document, known)
    return problems[0] if problems else document


def _chain(digest: str, version: int, raw: bytes) -> str:
    hashed = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    hashed.update(f'{digest}:{version}:'.encode())
    hashed.update(raw)
    return hashed.hexdigest()
