"""Rate limits of teams over all nodes together."""
