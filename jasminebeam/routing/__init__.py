"""Chooses the upstream that serves a request."""
