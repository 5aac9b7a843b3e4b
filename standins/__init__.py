"""Small stand-ins for what surrounds the system, for tests and demonstrations."""
