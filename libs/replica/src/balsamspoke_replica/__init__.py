"""A backend server's queue, adapter slots, loads, drain and fencing."""
