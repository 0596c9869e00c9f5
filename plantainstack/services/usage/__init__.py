"""Usage reports: counts of requests by tenant and window."""
