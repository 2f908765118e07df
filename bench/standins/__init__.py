"""Stand-ins for the upstreams and the platform store."""
