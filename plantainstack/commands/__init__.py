"""Commands of the operators' client."""
