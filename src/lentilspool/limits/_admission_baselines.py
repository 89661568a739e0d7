"""Simple admission policies that serve as baselines in comparisons."""

import types
from collections.abc import Mapping
from typing import Final

from lentilspool import kernel
from lentilspool.limits import _types

_EMPTY: Final[Mapping[str, float]] = types.MappingProxyType({})
_DEFAULT_REQUEST_LIMIT: Final = 64
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
        self._admitted: dict[str, _types.AdmissionRequest] = {}

    def decide(
        self,
        request: _types.AdmissionRequest,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admission:
        """Admit the request."""
        self._admitted[request.request_id] = request
        return self._admit(request)

    def recheck(
        self,
        request_id: str,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admit | _types.GiveUp:
        """Admit the request again, whatever time is left."""
        return self._admit(self._admitted[request_id])

    def stage_done(self, request_id: str, stage: str, now: float) -> None:
        """Ignore the end of a stage."""

    def forget(self, request_id: str) -> None:
        """Remove the request; harmless when repeated."""
        self._admitted.pop(request_id, None)

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain JSON types."""
        return {'admitted_in_hand': len(self._admitted)}

    def _admit(self, request: _types.AdmissionRequest) -> _types.Admit:
        due_times = tuple(
            _types.StageDueTime(estimate.stage, request.deadline)
            for estimate in request.stage_estimates
        )
        return _types.Admit(request.deadline, due_times)


@_register(_KIND, 'queue_length')
class QueueLengthLimit(AdmitAll):
    """Refuses requests while too many are in progress at this entry.

    The limit is the parameter ``admission_queue_limit``.
    """

    def __init__(
        self,
        shares: Mapping[str, float] = _EMPTY,
        parameters: Mapping[str, float] = _EMPTY,
    ) -> None:
        super().__init__(shares, parameters)
        self._limit = parameters.get(
            'admission_queue_limit', _DEFAULT_REQUEST_LIMIT
        )

    def decide(
        self,
        request: _types.AdmissionRequest,
        loads: Mapping[str, _types.PoolLoad],
        now: float,
    ) -> _types.Admission:
        """Admit the request if fewer than the limit are in progress."""
        if len(self._admitted) < self._limit:
            return super().decide(request, loads, now)
        if request.may_wait:
            return _types.AdmitWaiting(_RETRY_AFTER_S)
        reason = kernel.NotRunReason.overloaded
        return kernel.NotRun(reason, retry_after_s=_RETRY_AFTER_S)
