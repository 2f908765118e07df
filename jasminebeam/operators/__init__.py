"""gRPC interface for operators."""
