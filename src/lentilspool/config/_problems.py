"""Problems of a configuration document, and the names that it may use."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One reason to refuse a document."""

    path: str
    """Path of the value in the document, such as ``$.pools.rerank``."""

    detail: str
    """Explanation for operators."""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownNames:
    """Names of registered policies that a document may use."""

    routing: tuple[str, ...]
    """Routing policies."""

    limit: tuple[str, ...]
    """Concurrency-limit policies."""

    admission: tuple[str, ...]
    """Admission policies of entries."""

    queue: tuple[str, ...]
    """Queue policies of sidecars."""

    spend: tuple[str, ...]
    """Spend policies."""
