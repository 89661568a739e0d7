"""Which machine sends a request to an endpoint."""

from soak import _history

# Calls of pieces come from whichever machine plans.
PLANNER = ''


class Senders:
    """Machines by the attempts that they take."""

    def __init__(self, history: _history.History) -> None:
        self._machines = {
            seen.request: seen.machine
            for seen in history.observations
            if isinstance(seen, _history.Sent)
        }
        self._all = sorted(
            set(self._machines.values())
            | {
                seen.machine
                for seen in history.observations
                if isinstance(seen, _history.Process)
            }
        )

    def machine(self, request: str) -> str:
        """Return the machine that sends a request; ``PLANNER`` for a call."""
        return self._machines.get(request, PLANNER)

    def places(self, machine: str) -> list[str]:
        """Return the places whose disruption excuses a machine.

        A disruption anywhere may change the planner.
        """
        return self._all if machine == PLANNER else [machine]


def answers_by_endpoint(
    history: _history.History,
) -> dict[str, list[_history.Answered]]:
    """Return the answers of endpoints that state something of themselves."""
    answers: dict[str, list[_history.Answered]] = {}
    for seen in history.observations:
        if isinstance(seen, _history.Answered):
            answers.setdefault(seen.endpoint, []).append(seen)
    return answers
