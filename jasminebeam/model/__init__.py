"""Immutable data that the other packages exchange."""
