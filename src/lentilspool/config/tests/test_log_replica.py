"""Tests of which offered entries a process adopts."""

from lentilspool import config
from lentilspool.config.tests import samples

_LOG = (
    samples.base(),
    samples.share(2, 1, 'desk', 2),
    samples.share(3, 2, 'desk', 3),
)
_FORKED_ENTRY = samples.share(3, 2, 'desk', 33)


def _replica(*entries: bytes) -> config.LogReplica:
    replica = config.LogReplica()
    replica.offer_service_entries(entries)
    return replica


def _fault(outcome: config.OfferOutcome) -> config.Fault | None:
    return outcome.fault if isinstance(outcome, config.Ignored) else None


class TestServiceReplies:
    def test_adopts_entries_that_continue_the_log(self) -> None:
        replica = _replica(*_LOG[:2])
        outcome = replica.offer_service_entries(_LOG[1:])
        assert isinstance(outcome, config.Adopted)
        assert [verdict.number for verdict in outcome.verdicts] == [3]
        assert replica.version == 3

    def test_ignores_a_stale_service(self) -> None:
        replica = _replica(*_LOG)
        for reply in ((), _LOG[:2]):
            outcome = replica.offer_service_entries(reply)
            assert _fault(outcome) is config.Fault.stale
        assert replica.version == 3
        faults = replica.dump()['faults']
        assert isinstance(faults, dict)
        assert faults['service']['fault'] == 'stale'

    def test_ignores_a_forked_service(self) -> None:
        replica = _replica(*_LOG)
        later = samples.share(4, 3, 'desk', 4)
        outcome = replica.offer_service_entries((_FORKED_ENTRY, later))
        assert _fault(outcome) is config.Fault.forked
        assert replica.number == 3

    def test_clears_the_fault_of_a_recovered_service(self) -> None:
        replica = _replica(*_LOG)
        replica.offer_service_entries(())
        assert replica.offer_service_entries(_LOG[2:]) == config.Unchanged()
        assert not replica.dump()['faults']

    def test_adopts_a_newer_base_across_a_gap(self) -> None:
        replica = _replica(*_LOG)
        replica.offer_service_entries((samples.base(9),))
        assert (replica.number, replica.version) == (9, 9)
        assert replica.dump()['base'] == 9

    def test_ignores_an_invalid_base(self) -> None:
        replica = _replica(*_LOG)
        outcome = replica.offer_service_entries((samples.base(9, pools={}),))
        assert _fault(outcome) is config.Fault.invalid
        assert replica.number == 3

    def test_first_entry_of_a_duplicate_number_counts(self) -> None:
        early = _replica(*_LOG[:2])
        early.offer_service_entries((_LOG[1], _LOG[2], _FORKED_ENTRY))
        late = _replica(*_LOG, _FORKED_ENTRY)
        assert early.digest == late.digest == _replica(*_LOG).digest

    def test_ignores_undecodable_entries(self) -> None:
        replica = _replica(*_LOG)
        deep = b'[' * 100_000
        for raw in (b'', b'{}', b'{"number": true}', deep):
            assert isinstance(replica.offer((raw,), '', 'b'), config.Ignored)
        assert replica.number == 3


class TestPeerEntries:
    def test_adopts_entries_with_a_matching_digest(self) -> None:
        ahead, behind = _replica(*_LOG), _replica(*_LOG[:1])
        entries = ahead.entries_after(behind.number)
        outcome = behind.offer(entries, ahead.digest, 'a')
        assert isinstance(outcome, config.Adopted)
        assert behind.digest == ahead.digest

    def test_ignores_entries_of_a_forked_peer(self) -> None:
        forked = _replica(
            *_LOG[:2], _FORKED_ENTRY, samples.share(4, 3, 'desk', 4)
        )
        replica = _replica(*_LOG)
        outcome = replica.offer(forked.entries_after(3), forked.digest, 'a')
        assert _fault(outcome) is config.Fault.forked
        assert not replica.is_consistent(
            3, _replica(*_LOG[:2], _FORKED_ENTRY).digest
        )
        assert replica.number == 3

    def test_ignores_entries_after_a_gap(self) -> None:
        replica = _replica(*_LOG[:1])
        outcome = replica.offer(_LOG[2:], '', 'a')
        assert _fault(outcome) is config.Fault.gap

    def test_returns_the_entries_that_a_reader_is_missing(self) -> None:
        replica = _replica(*_LOG)
        assert replica.entries_after(0) == _LOG
        assert replica.entries_after(2) == _LOG[2:]
        assert not replica.entries_after(3)
