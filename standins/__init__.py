"""Small stand-ins for what the system works with; for tests and trials only."""
