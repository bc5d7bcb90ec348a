"""The daemon: settings, HTTP and gRPC shells, logs and metrics."""
