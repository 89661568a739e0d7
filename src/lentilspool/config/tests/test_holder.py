"""Tests of which offered entries a process adopts."""

from lentilspool import config
from lentilspool.config.tests import samples

_LOG = (
    samples.base(),
    samples.share(2, 1, 'desk', 2),
    samples.share(3, 2, 'desk', 3),
)
_FORKED_ENTRY = samples.share(3, 2, 'desk', 33)


def _holder(*entries: bytes) -> config.Holder:
    holder = config.Holder()
    holder.offer_service(entries)
    return holder


def _fault(outcome: config.OfferOutcome) -> config.Fault | None:
    return outcome.fault if isinstance(outcome, config.Ignored) else None


class TestServiceReplies:
    def test_adopts_entries_that_continue_the_log(self) -> None:
        holder = _holder(*_LOG[:2])
        outcome = holder.offer_service(_LOG[1:])
        assert isinstance(outcome, config.Adopted)
        assert [verdict.number for verdict in outcome.verdicts] == [3]
        assert holder.version == 3

    def test_ignores_a_stale_service(self) -> None:
        holder = _holder(*_LOG)
        for reply in ((), _LOG[:2]):
            outcome = holder.offer_service(reply)
            assert _fault(outcome) is config.Fault.stale
        assert holder.version == 3
        faults = holder.dump()['faults']
        assert isinstance(faults, dict)
        assert faults['service']['fault'] == 'stale'

    def test_ignores_a_forked_service(self) -> None:
        holder = _holder(*_LOG)
        later = samples.share(4, 3, 'desk', 4)
        outcome = holder.offer_service((_FORKED_ENTRY, later))
        assert _fault(outcome) is config.Fault.forked
        assert holder.number == 3

    def test_clears_the_fault_of_a_recovered_service(self) -> None:
        holder = _holder(*_LOG)
        holder.offer_service(())
        assert holder.offer_service(_LOG[2:]) == config.Unchanged()
        assert not holder.dump()['faults']

    def test_adopts_a_newer_base_across_a_gap(self) -> None:
        holder = _holder(*_LOG)
        holder.offer_service((samples.base(9),))
        assert (holder.number, holder.version) == (9, 9)
        assert holder.dump()['base'] == 9

    def test_ignores_an_invalid_base(self) -> None:
        holder = _holder(*_LOG)
        outcome = holder.offer_service((samples.base(9, pools={}),))
        assert _fault(outcome) is config.Fault.invalid
        assert holder.number == 3

    def test_first_entry_of_a_duplicate_number_counts(self) -> None:
        early = _holder(*_LOG[:2])
        early.offer_service((_LOG[1], _LOG[2], _FORKED_ENTRY))
        late = _holder(*_LOG, _FORKED_ENTRY)
        assert early.digest == late.digest == _holder(*_LOG).digest

    def test_ignores_undecodable_entries(self) -> None:
        holder = _holder(*_LOG)
        deep = b'[' * 100_000
        for raw in (b'', b'{}', b'{"number": true}', deep):
            assert isinstance(holder.offer((raw,), '', 'b'), config.Ignored)
        assert holder.number == 3


class TestPeerEntries:
    def test_adopts_entries_with_a_matching_digest(self) -> None:
        ahead, behind = _holder(*_LOG), _holder(*_LOG[:1])
        entries = ahead.entries_after(behind.number)
        outcome = behind.offer(entries, ahead.digest, 'a')
        assert isinstance(outcome, config.Adopted)
        assert behind.digest == ahead.digest

    def test_ignores_entries_of_a_forked_peer(self) -> None:
        forked = _holder(
            *_LOG[:2], _FORKED_ENTRY, samples.share(4, 3, 'desk', 4)
        )
        holder = _holder(*_LOG)
        outcome = holder.offer(forked.entries_after(3), forked.digest, 'a')
        assert _fault(outcome) is config.Fault.forked
        assert not holder.is_consistent(
            3, _holder(*_LOG[:2], _FORKED_ENTRY).digest
        )
        assert holder.number == 3

    def test_ignores_entries_after_a_gap(self) -> None:
        holder = _holder(*_LOG[:1])
        outcome = holder.offer(_LOG[2:], '', 'a')
        assert _fault(outcome) is config.Fault.gap

    def test_returns_the_entries_that_a_reader_is_missing(self) -> None:
        holder = _holder(*_LOG)
        assert holder.entries_after(0) == _LOG
        assert holder.entries_after(2) == _LOG[2:]
        assert not holder.entries_after(3)
