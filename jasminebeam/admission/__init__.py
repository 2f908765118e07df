"""Admission control: which requests a sidecar accepts."""
