"""Network connections, clock, logs and metrics shared by the system's processes."""
