"""Decision logic without I/O; the current time is always passed in."""
