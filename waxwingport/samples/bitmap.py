"""Set of sample numbers as a bitmap, little-endian bit order."""

import base64
import binascii

from expression import Error
from expression import Ok
from expression import Result

from waxwingport import ids

__all__ = ['Bitmap']


class Bitmap:
    """Set of sample numbers from 0 to ``size - 1``."""

    def __init__(self, size: int, bits: bytes = b'') -> None:
        self.size = size
        self._bits = bytearray(bits.ljust((size + 7) // 8, b'\0'))

    @classmethod
    def decode(cls, size: int, text: str) -> Result['Bitmap', str]:
        """Returns the bitmap that ``text`` holds in base64."""
        try:
            bits = base64.b64decode(text, validate=True)
        except binascii.Error as error:
            return Error(f'received: no base64: {error}')
        if len(bits) > (size + 7) // 8:
            return Error(f'received: {len(bits)} bytes for {size} samples')
        return Ok(cls(size, bits))

    def encode(self) -> str:
        """Returns the bitmap in base64."""
        return base64.b64encode(bytes(self._bits)).decode()

    def add(self, number: ids.SampleNumber) -> None:
        """Adds a sample number."""
        self._bits[number // 8] |= 1 << number % 8

    def __contains__(self, number: ids.SampleNumber) -> bool:
        return bool(self._bits[number // 8] & 1 << number % 8)

    def __len__(self) -> int:
        return sum(byte.bit_count() for byte in self._bits)
