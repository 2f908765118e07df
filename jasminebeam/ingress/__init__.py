"""Ingress role: forwards callers' requests to upstreams."""
