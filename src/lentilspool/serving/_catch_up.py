"""When to ask another gateway for published state.

Answers a large configuration that many gateways with narrow links read at
once: each of them hears from all its neighbours that it is behind, and asks
one at a time, after its own reader of the store had time to bring the state.
"""


class CatchUp:
    """Watches one kind of published state; call ``told`` for each beat."""

    def __init__(self, patience_s: float, answer_s: float) -> None:
        self._patience_s = patience_s
        self._answer_s = answer_s
        self._held = 0
        self._newest = 0
        self._behind_since: float | None = None
        self._asked_at: float | None = None

    def told(self, held: int, told: int, now: float) -> bool:
        """Take in what a neighbour holds; return whether to ask it.

        ``held`` and ``told`` are versions of this process and of the
        neighbour. A process that holds nothing asks without delay.
        """
        if held != self._held or held >= self._newest:
            self._held = held
            self._behind_since = None
        if told <= held:
            return False
        self._newest = max(self._newest, told)
        if self._behind_since is None:
            self._behind_since = now
        if held and now - self._behind_since < self._patience_s:
            return False
        asked_at = self._asked_at
        if asked_at is not None and now - asked_at < self._answer_s:
            return False
        self._asked_at = now
        return True
