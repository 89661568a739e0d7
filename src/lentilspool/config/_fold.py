"""Fold of the published entries, in order, into numbered versions.

The outcome depends only on the bytes of the entries and the known policy
names, so processes that have read the same entries and load the same plug-ins
have the same version, digest and verdicts.
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

# Versions by which a patch may lag behind the version in force. Older patches
# cannot be checked for conflicts and are refused as stale.
_CONFLICT_WINDOW_VERSIONS: Final = 256
_MAX_DOCUMENT_BYTES: Final = 1_000_000
_DIGEST_BYTES: Final = 16


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """The configuration in force after one published entry."""

    number: int
    """Position in the published log of the last entry folded."""

    version: int
    """Number of the version; every accepted patch adds one."""

    digest: str
    """Chained digest of all entries since the base and their versions."""

    document: _document.Document
    """The document, converted and valid."""

    text: bytes
    """The document as canonical JSON."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Paths changed by an accepted patch."""

    version: int
    """The version that the patch created."""

    paths: tuple[_merge.Path, ...]
    """Paths that the patch set or removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class FoldResult:
    """Result of folding one entry."""

    state: State
    """State after the entry."""

    changes: tuple[Change, ...]
    """Latest accepted changes since the base, oldest first."""

    verdict: _verdicts.Verdict
    """Whether the entry was accepted, and if not, why."""


class InvalidBaseError(ValueError):
    """A base whose document is invalid; the log is read only up to it."""


def fold_base(
    base: _entries.Base, raw: bytes, known: _problems.KnownNames | None
) -> FoldResult:
    """Return the result of a base; raises ``InvalidBaseError``."""
    text = _entries.encode_entry(base.document)
    validated = _validate(_check.convert_document(base.document), text, known)
    if isinstance(validated, _problems.Problem):
        raise InvalidBaseError(f'{validated.path}: {validated.detail}')
    state = State(
        number=base.number,
        version=base.number,
        digest=_chained_digest('', base.number, raw),
        document=validated,
        text=text,
    )
    verdict = _verdicts.EntryAccepted(base.number, base.number, '')
    return FoldResult(state, (), verdict)


def fold_entry(
    previous: FoldResult,
    entry: _entries.Patch | _entries.Malformed,
    raw: bytes,
    known: _problems.KnownNames | None,
) -> FoldResult:
    """Return the result of the next entry of the log."""
    if isinstance(entry, _entries.Malformed):
        problem = _problems.Problem('$', entry.problem)
        reason = _verdicts.RefusalReason.invalid
        return _refuse(previous, entry.number, '', raw, (reason, problem))
    refusal = _find_refusal(previous, entry)
    if refusal is not None:
        return _refuse(previous, entry.number, entry.author, raw, refusal)
    plain = _merge.apply_patch(previous.state.text, entry.merge)
    text = _entries.encode_entry(plain)
    paths = _merge.touched_paths(entry.merge)
    document = _check.reconvert_document(previous.state.document, plain, paths)
    validated = _validate(document, text, known)
    if isinstance(validated, _document.Document):
        current = previous.state.document
        validated = _slots.key_slot_problem(current, validated) or validated
    if isinstance(validated, _problems.Problem):
        reason = _verdicts.RefusalReason.invalid
        return _refuse(
            previous, entry.number, entry.author, raw, (reason, validated)
        )
    return _accept(previous, entry, raw, validated, text)


def _find_refusal(
    previous: FoldResult, patch: _entries.Patch
) -> tuple[_verdicts.RefusalReason, _problems.Problem] | None:
    version = previous.state.version
    if patch.against > version:
        detail = f'version {patch.against} does not exist yet'
        problem = _problems.Problem('against', detail)
        return _verdicts.RefusalReason.invalid, problem
    oldest = previous.changes[0].version - 1 if previous.changes else version
    if patch.against < oldest:
        detail = f'made against {patch.against}; the oldest usable is {oldest}'
        problem = _problems.Problem('against', detail)
        return _verdicts.RefusalReason.stale, problem
    return _find_conflict(previous, patch)


def _find_conflict(
    previous: FoldResult, patch: _entries.Patch
) -> tuple[_verdicts.RefusalReason, _problems.Problem] | None:
    patch_paths = _merge.touched_paths(patch.merge)
    for change in reversed(previous.changes):
        if change.version <= patch.against:
            return None
        for path in patch_paths:
            if any(_merge.overlap(path, other) for other in change.paths):
                problem = _problems.Problem(
                    _merge.format_path(path),
                    f'changed by version {change.version}, after '
                    f'{patch.against}',
                )
                return _verdicts.RefusalReason.conflict, problem
    return None


def _accept(
    previous: FoldResult,
    patch: _entries.Patch,
    raw: bytes,
    document: _document.Document,
    text: bytes,
) -> FoldResult:
    version = previous.state.version + 1
    state = State(
        number=patch.number,
        version=version,
        digest=_chained_digest(previous.state.digest, version, raw),
        document=document,
        text=text,
    )
    change = Change(version, _merge.touched_paths(patch.merge))
    verdict = _verdicts.EntryAccepted(patch.number, version, patch.author)
    recent = previous.changes[1 - _CONFLICT_WINDOW_VERSIONS :]
    return FoldResult(state, (*recent, change), verdict)


def _refuse(
    previous: FoldResult,
    number: int,
    author: str,
    raw: bytes,
    refusal: tuple[_verdicts.RefusalReason, _problems.Problem],
) -> FoldResult:
    reason, problem = refusal
    version = previous.state.version
    state = dataclasses.replace(
        previous.state,
        number=number,
        digest=_chained_digest(previous.state.digest, version, raw),
    )
    verdict = _verdicts.EntryRefused(
        number, version, author, reason, problem.path, problem.detail
    )
    return FoldResult(state, previous.changes, verdict)


def _validate(
    document: _document.Document | _problems.Problem,
    text: bytes,
    known: _problems.KnownNames | None,
) -> _document.Document | _problems.Problem:
    if len(text) > _MAX_DOCUMENT_BYTES:
        detail = f'{len(text)} bytes; at most {_MAX_DOCUMENT_BYTES}'
        return _problems.Problem('$', detail)
    if isinstance(document, _problems.Problem):
        return document
    problems = _check.check_document(document, known)
    return problems[0] if problems else document


def _chained_digest(digest: str, version: int, raw: bytes) -> str:
    hasher = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    hasher.update(f'{digest}:{version}:'.encode())
    hasher.update(raw)
    return hasher.hexdigest()
