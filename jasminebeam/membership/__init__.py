"""Who is alive: gossip state and failure detection."""
