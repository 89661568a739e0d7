"""Conversion between message data classes and thrift's compact encoding.

Only this module uses the generated thrift classes. A message is sent in an
``Envelope``, in which exactly the field of its type is set.
"""

import dataclasses
import types
from collections.abc import Mapping
from typing import Any, Final

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from lentilspool.wire import _calls, _control, _hand_off, _plans
from lentilspool.wire.generated.messages import constants, ttypes

CallMessage = (
    _calls.Hello
    | _calls.StageCall
    | _calls.StageChunk
    | _calls.StageAnswer
    | _calls.Cancel
    | _calls.AdmitCall
    | _calls.AdmitAnswer
    | _calls.Refusal
    | _calls.Probe
)
ControlMessage = (
    _control.ConfigDigest
    | _control.ConfigPull
    | _control.ConfigPush
    | _control.Heartbeat
    | _control.Suspicions
    | _control.OrderProgress
)
HandOffMessage = (
    _hand_off.HeldCall
    | _hand_off.HeldAnswer
    | _hand_off.RenewCall
    | _hand_off.RenewAnswer
    | _hand_off.CollectCall
    | _hand_off.CollectAnswer
)
PlanMessage = (
    _plans.PlanCall
    | _plans.PlanAnswer
    | _plans.PlanNote
    | _plans.GatewayBeat
    | _plans.PublishedAsk
    | _plans.Published
)
Message = CallMessage | ControlMessage | HandOffMessage | PlanMessage

PROTOCOL_VERSION: Final[int] = constants.PROTOCOL_VERSION

_ENVELOPE_FIELDS: Final[Mapping[type[Any], str]] = types.MappingProxyType(
    {
        _calls.Hello: 'hello',
        _calls.StageCall: 'stage_call',
        _calls.StageChunk: 'stage_chunk',
        _calls.StageAnswer: 'stage_answer',
        _calls.Cancel: 'cancel',
        _calls.AdmitCall: 'admit_call',
        _calls.AdmitAnswer: 'admit_answer',
        _calls.Refusal: 'refusal',
        _calls.Probe: 'probe',
        _control.ConfigDigest: 'config_digest',
        _control.ConfigPull: 'config_pull',
        _control.ConfigPush: 'config_push',
        _control.Heartbeat: 'heartbeat',
        _control.Suspicions: 'suspicions',
        _control.OrderProgress: 'order_progress',
        _hand_off.HeldCall: 'held_call',
        _hand_off.HeldAnswer: 'held_answer',
        _hand_off.RenewCall: 'renew_call',
        _hand_off.RenewAnswer: 'renew_answer',
        _hand_off.CollectCall: 'collect_call',
        _hand_off.CollectAnswer: 'collect_answer',
        _plans.PlanCall: 'plan_call',
        _plans.PlanAnswer: 'plan_answer',
        _plans.PlanNote: 'plan_note',
        _plans.GatewayBeat: 'gateway_beat',
        _plans.PublishedAsk: 'published_ask',
        _plans.Published: 'published',
    }
)

_PROTOCOL_FACTORY: Final = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    fallback=True,
)

_MESSAGE_FIELDS: Final[Mapping[type[Any], tuple[str, ...]]] = (
    types.MappingProxyType(
        {
            kind: tuple(field.name for field in dataclasses.fields(kind))
            for kind in _ENVELOPE_FIELDS
        }
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Decoding failure: a frame without a valid message of this protocol."""

    reason: str
    """What is wrong with the frame."""


def encode(message: Message) -> bytes:
    """Encode a message as the payload of one frame."""
    envelope = ttypes.Envelope()
    setattr(envelope, _ENVELOPE_FIELDS[type(message)], _to_thrift(message))
    transport = TTransport.TMemoryBuffer()
    envelope.write(_PROTOCOL_FACTORY.getProtocol(transport))
    payload: bytes = transport.getvalue()
    return payload


def decode(payload: bytes) -> Message | Malformed:
    """Decode the payload of one frame; return ``Malformed`` if invalid."""
    envelope = ttypes.Envelope()
    transport = TTransport.TMemoryBuffer(payload)
    # The decoder raises many types of exceptions on invalid bytes.
    try:
        envelope.read(_PROTOCOL_FACTORY.getProtocol(transport))
    except Exception as error:
        return Malformed(f'not a message: {type(error).__name__}: {error}')
    for kind, name in _ENVELOPE_FIELDS.items():
        struct = getattr(envelope, name)
        if struct is not None:
            return _validated(struct, kind)
    return Malformed('unknown message: no known field is set')


def _validated(struct: Any, kind: type[Any]) -> Message | Malformed:
    try:
        struct.validate()
    except Exception as error:
        return Malformed(f'incomplete {kind.__name__}: {error}')
    message: Message = _from_thrift(struct, kind)
    return message


def _to_thrift(message: Any) -> Any:
    kind = type(message)
    struct = getattr(ttypes, kind.__name__)()
    for name in _MESSAGE_FIELDS[kind]:
        field = getattr(message, name)
        if isinstance(field, _control.ConfigDigest):
            field = _to_thrift(field)
        setattr(struct, name, field)
    return struct


def _from_thrift(struct: Any, kind: type[Any]) -> Any:
    values = {name: getattr(struct, name) for name in _MESSAGE_FIELDS[kind]}
    for name, field in values.items():
        if isinstance(field, list):
            values[name] = tuple(field)
        elif isinstance(field, ttypes.ConfigDigest):
            field.validate()
            values[name] = _from_thrift(field, _control.ConfigDigest)
    return kind(**values)
