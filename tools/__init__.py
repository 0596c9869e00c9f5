"""Development tools that start processes."""
