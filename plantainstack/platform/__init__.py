"""HTTP interfaces of a platform with a single metadata store, without policies."""
