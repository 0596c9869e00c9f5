"""Settings of one instance and of the fleet."""
