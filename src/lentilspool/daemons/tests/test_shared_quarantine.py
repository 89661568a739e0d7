"""Tests of suspicions that entries send each other."""

import trio
from trio import testing

from lentilspool import admission, wire
from lentilspool.daemons import _hosts, _shared_quarantine

HOST = _hosts.Host('second', '127.0.0.1', 1, 'z', 'entry')


class LossyConnection:
    """Delivers to one entry all messages but the first, which opens it."""

    def __init__(self) -> None:
        self.receiver: _shared_quarantine.SharedQuarantine | None = None
        self._open = False

    async def send(self, name: str, message: wire.Message) -> None:
        if (
            self._open
            and self.receiver
            and isinstance(message, wire.Suspicions)
        ):
            self.receiver.merge_suspicions(message)
        self._open = True


class TestSharedQuarantine:
    def test_first_suspicion_arrives_before_its_content_may_run(self) -> None:
        async def check() -> None:
            connection = LossyConnection()
            async with trio.open_nursery() as nursery:
                first, second = (
                    _shared_quarantine.SharedQuarantine(
                        name, connection.send, nursery
                    )
                    for name in ('first', 'second')
                )
                connection.receiver = second
                first.update_hosts((HOST,))
                first.record_death('e1/1', 'content')
                await trio.sleep(admission.QuarantineLimits().spread_s)
                decision = second.decision_for('content')
                assert isinstance(decision, admission.RunAlone)

        trio.run(check, clock=testing.MockClock(autojump_threshold=0))
