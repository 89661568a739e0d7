"""Baselines of admission control."""

import types
from collections.abc import Mapping
from typing import Final

from lentilspool import kernel
from lentilspool.limits import _types

_EMPTY: Final[Mapping[str, float]] = types.MappingProxyType({})
_QUEUE_LIMIT: Final = 64
_RETRY_AFTER_S: Final = 1.0
_register = kernel.registry.register
_KIND: Final = kernel.PluginKind.admission_policy


@_register(_KIND, 'none')
class AdmitAll:
    """Admits every request and never gives one up."""

    def __init__(
        self,
        shares: Mapping[str, float] = _EMPTY,
        parameters: Mapping[str, float] = _EMPTY,
    ) -> None:
        self._in_hand: dict[str, _types.AdmissionRequest] = {}

    def decide(
        self,
        request: _types.AdmissionRequest,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admission:
        """Admit the request."""
        self._in_hand[request.request_id] = request
        return self._admit(request)

    def recheck(
        self,
        request_id: str,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admit | _types.GiveUp:
        """Let the request go on."""
        return self._admit(self._in_hand[request_id])

    def stage_done(self, request_id: str, stage: str, now: float) -> None:
        """Record nothing."""

    def forget(self, request_id: str) -> None:
        """Drop the request from the count."""
        self._in_hand.pop(request_id, None)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'admitted_in_hand': len(self._in_hand)}

    def _admit(self, request: _types.AdmissionRequest) -> _types.Admit:
        dues = tuple(
            _types.StageDue(need.stage, request.deadline)
            for need in request.needs
        )
        return _types.Admit(request.deadline, dues)


@_register(_KIND, 'queue_length')
class QueueLengthLimit(AdmitAll):
    """Refuses while this entry holds more than a number of requests.

    The number is the parameter ``admission_queue_limit``.
    """

    def __init__(
        self,
        shares: Mapping[str, float] = _EMPTY,
        parameters: Mapping[str, float] = _EMPTY,
    ) -> None:
        super().__init__(shares, parameters)
        self._limit = parameters.get('admission_queue_limit', _QUEUE_LIMIT)

    def decide(
        self,
        request: _types.AdmissionRequest,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admission:
        """Admit the request if few enough are in hand."""
        if len(self._in_hand) < self._limit:
            return super().decide(request, loads, now)
        if request.may_wait:
            return _types.AdmitWaiting(_RETRY_AFTER_S)
        reason = kernel.NotRunReason.overloaded
        return kernel.NotRun(reason, retry_after_s=_RETRY_AFTER_S)
