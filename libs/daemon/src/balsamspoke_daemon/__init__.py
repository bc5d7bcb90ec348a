"""The daemon: settings, HTTP and gRPC servers, logs and metrics."""
