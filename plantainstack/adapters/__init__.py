"""HTTP clients of a platform with separate services."""
