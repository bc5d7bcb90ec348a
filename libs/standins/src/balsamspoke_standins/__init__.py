"""Stand-ins for the platform and the backend servers, and a load tool."""
