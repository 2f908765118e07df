"""The inner protocol between nodes."""
