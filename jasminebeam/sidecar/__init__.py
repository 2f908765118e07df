"""Sidecar role: the only way in to the upstream beside a node."""
