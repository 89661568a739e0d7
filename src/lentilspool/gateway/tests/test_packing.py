"""Tests of the compression of published items."""

import msgspec
import pytest

from lentilspool.gateway import _packing, _published

ITEMS = [
    _published.StoredItem(f'servers/{number}', b'{"state": "ready"}', number)
    for number in range(500)
]


class TestPacking:
    def test_unpack_returns_the_packed_items(self) -> None:
        packed = _packing.pack(ITEMS)
        assert _packing.unpack(packed, _published.StoredItem) == ITEMS

    def test_similar_items_shrink_to_less_than_a_quarter(self) -> None:
        plain = msgspec.msgpack.encode(ITEMS)
        assert len(_packing.pack(ITEMS)) < len(plain) / 4

    @pytest.mark.parametrize('cut', [0, 1, 10, 200])
    def test_truncated_content_is_rejected(self, cut: int) -> None:
        packed = _packing.pack(ITEMS)
        with pytest.raises(msgspec.MsgspecError):
            _packing.unpack(packed[:cut], _published.StoredItem)

    def test_content_of_another_type_is_rejected(self) -> None:
        with pytest.raises(msgspec.MsgspecError):
            _packing.unpack(_packing.pack([1, 2]), _published.StoredItem)
