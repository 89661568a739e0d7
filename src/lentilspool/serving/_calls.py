"""Decoded request of a caller."""

import dataclasses

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """Part of a prompt; requests with the same part may share its cache."""

    key: str
    """Identity of the part's text."""

    tokens: int
    """Length of the part in tokens."""


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Input and output of an engine for one request."""

    model: str
    """Name of the model."""

    input_tokens: int
    """Length of the whole prompt in tokens."""

    output_tokens: int
    """Largest number of tokens to generate."""

    parts: tuple[PromptPart, ...]
    """Parts in order; the last one is unique to this request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller; a retry by the caller is another one."""

    request_id: str
    """Identity that the caller gave to the request."""

    method: str
    """HTTP method."""

    target: str
    """Path and query, unchanged."""

    host: str
    """Host header, as sent."""

    path: str
    """Path without the query."""

    headers: Headers
    """Headers that are passed on to endpoints."""

    api_key: str
    """Key of the caller's team; empty if there is none."""

    deadline_s: float | None
    """Seconds that the caller waits from sending; None if not stated."""

    prompt: Prompt | None = None
    """Prompt, for requests to a model."""

    pieces: tuple[int, ...] = ()
    """Number of pieces by stage number; 0 skips the stage."""

    piece_key: str = ''
    """Key with which stages look up the subject of the request."""

    last_event: int | None = None
    """Last event that the caller received of the stream it resumes."""

    resumed_id: str = ''
    """Identity of the request whose answer began that stream."""
