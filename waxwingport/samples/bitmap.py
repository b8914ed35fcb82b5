"""Set of sample numbers as a bitmap, little-endian bit order."""

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
        """Returns the bitmap that ``text`` holds in base64.

        A shorter one is filled with zeros; one that names a number from
        ``size`` on is refused.
        """
        try:
            bits = base64.b64decode(text, validate=True)
        except (binascii.Error, ValueError) as error:
            return Error(f'received: no base64: {error}')
        if len(bits) > (size + 7) // 8:
            return Error(f'received: {len(bits)} bytes for {size} samples')
        if int.from_bytes(bits, 'little') >> size:
            return Error(f'received: a number from {size} on is set')
        return Ok(cls(size, bits))

    def encode(self) -> str:
        """Returns the bitmap in base64."""
        return base64.b64encode(bytes(self._bits)).decode()

    def add(self, number: ids.SampleNumber) -> None:
        """Adds a sample number."""
        self._bits[number // 8] |= 1 << number % 8

    def list_changes(self, other: 'Bitmap') -> Iterator[ids.SampleNumber]:
        """Yields the numbers that are in just one of the two, in order."""
        for index, (mine, theirs) in enumerate(
            zip(self._bits, other._bits, strict=True)
        ):
            changed = mine ^ theirs
            while changed:
                lowest = changed & -changed
                yield ids.SampleNumber(index * 8 + lowest.bit_length() - 1)
                changed ^= lowest

    def __contains__(self, number: ids.SampleNumber) -> bool:
        return bool(self._bits[number // 8] & 1 << number % 8)

    def __len__(self) -> int:
        return sum(byte.bit_count() for byte in self._bits)
