"""The cases of an independent review."""
