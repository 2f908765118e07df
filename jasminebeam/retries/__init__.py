"""Decisions about repeating, hedging and revoking requests."""
