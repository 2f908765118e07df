"""Sidecar role: the only access to a node's local upstream."""
