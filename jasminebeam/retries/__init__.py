"""Decisions about retrying, hedging and revoking requests."""
