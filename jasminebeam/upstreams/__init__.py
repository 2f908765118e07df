"""HTTP towards the upstream beside the node."""
