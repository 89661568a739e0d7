"""A caller's request, decoded."""

import dataclasses

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    key: str
    """Identity of the part's text."""

    tokens: int
    """Length of the part."""


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What an engine reads and writes for a request."""

    model: str
    """Name of the model."""

    input_tokens: int
    """Tokens of the whole prompt."""

    output_tokens: int
    """Most tokens that are generated."""

    parts: tuple[PromptPart, ...]
    """Parts in their order; the last belongs to this request alone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One attempt of a caller to get an answer."""

    request_id: str
    """Identity that the caller gave to the attempt."""

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
    """Seconds that the caller waits, counted from its sending."""

    prompt: Prompt | None = None
    """Prompt, for requests to a model."""

    pieces: tuple[int, ...] = ()
    """Number of pieces of each stage; 0 leaves the stage out."""

    piece_key: str = ''
    """Key with which stages find what the request is about."""

    last_event: int | None = None
    """Event after which the caller resumes a stream."""
