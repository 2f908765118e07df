"""Interface and adapters of the key-value store of the platform."""
