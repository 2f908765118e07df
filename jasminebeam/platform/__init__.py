"""Adapter between the users' platform and the product."""
