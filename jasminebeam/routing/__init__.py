"""Decisions about which upstream serves a request."""
