"""Decision code without I/O and without a clock of its own."""
