"""Protocol and connections between nodes."""
