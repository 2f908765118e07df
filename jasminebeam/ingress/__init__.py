"""Ingress role: carries requests of callers to upstreams."""
