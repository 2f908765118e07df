"""Stand-ins for upstreams, stores and the network."""
