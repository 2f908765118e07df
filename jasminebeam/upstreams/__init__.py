"""HTTP interfaces between a node and its local upstream."""
