"""Stand-ins of the platform, its store, servers and clients; standard library only."""
