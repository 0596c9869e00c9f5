"""Commands of the operators' command-line client."""
