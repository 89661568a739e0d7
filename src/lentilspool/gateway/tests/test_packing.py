"""Tests of published items on their way between gateways."""

import msgspec
import pytest

from lentilspool.gateway import _packing, _published

ITEMS = [
    _published.Stored(f'servers/{number}', b'{"state": "ready"}', number)
    for number in range(500)
]


class TestPacking:
    def test_items_come_back(self) -> None:
        packed = _packing.pack(ITEMS)
        assert _packing.unpack(packed, _published.Stored) == ITEMS

    def test_items_that_are_alike_take_little_room(self) -> None:
        plain = msgspec.msgpack.encode(ITEMS)
        assert len(_packing.pack(ITEMS)) < len(plain) / 4

    @pytest.mark.parametrize('cut', [0, 1, 10, 200])
    def test_cut_content_is_told(self, cut: int) -> None:
        packed = _packing.pack(ITEMS)
        with pytest.raises(msgspec.MsgspecError):
            _packing.unpack(packed[:cut], _published.Stored)

    def test_content_of_another_kind_is_told(self) -> None:
        with pytest.raises(msgspec.MsgspecError):
            _packing.unpack(_packing.pack([1, 2]), _published.Stored)
