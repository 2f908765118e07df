"""Decisions about which requests a sidecar accepts."""
