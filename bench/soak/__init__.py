"""Randomized fault soak of real processes on loopback."""
