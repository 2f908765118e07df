"""The platform's key-value store and its adapters."""
