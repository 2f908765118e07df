"""Sidecar role: the only entry point to a node's local upstream."""
