"""Units of bytes."""

KIB = 1024
MIB = KIB * KIB
GIB = KIB * MIB
