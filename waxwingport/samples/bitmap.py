"""Set of sample numbers as a bitmap, least significant bit first."""

import base64
import binascii
from collections.abc import Iterator

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
        """Decodes a bitmap from base64.

        Missing bytes at the end count as zeros.  Returns an error text if
        ``text`` is not base64 or sets a number of ``size`` or more.  The error
        text begins with ``received``, the field that carries bitmaps.
        """
        try:
            bits = base64.b64decode(text, validate=True)
        except (binascii.Error, ValueError) as error:
            return Error(f'received: not valid base64: {error}')
        if len(bits) > (size + 7) // 8:
            return Error(
                f'received: {len(bits)} bytes, at most {(size + 7) // 8} for '
                f'{size} samples'
            )
        if int.from_bytes(bits, 'little') >> size:
            return Error(f'received: a bit for sample {size} or later is set')
        return Ok(cls(size, bits))

    def encode(self) -> str:
        """Returns the bitmap in base64, as ``decode`` reads it."""
        return base64.b64encode(bytes(self._bits)).decode()

    def add(self, number: ids.SampleNumber) -> None:
        """Adds a sample number, which has to be less than ``size``."""
        self._bits[number // 8] |= 1 << number % 8

    def list_differences(self, other: 'Bitmap') -> Iterator[ids.SampleNumber]:
        """Yields in order the numbers that are in exactly one of the two.

        Both bitmaps have to be of the same size.
        """
        for index, (own_byte, other_byte) in enumerate(
            zip(self._bits, other._bits, strict=True)
        ):
            changed = own_byte ^ other_byte
            while changed:
                lowest = changed & -changed
                yield ids.SampleNumber(index * 8 + lowest.bit_length() - 1)
                changed ^= lowest

    def __contains__(self, number: ids.SampleNumber) -> bool:
        return bool(self._bits[number // 8] & 1 << number % 8)

    def __len__(self) -> int:
        return sum(byte.bit_count() for byte in self._bits)
