"""Stand-ins for the platform, targets and callers in tests and demonstrations."""
