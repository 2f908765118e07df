"""Cluster membership: gossip and failure detection."""
