"""Stand-ins for the platform and for backend servers, a load tool and a demo."""
