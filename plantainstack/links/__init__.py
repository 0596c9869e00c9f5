"""Network connections to endpoints and to peer instances."""
