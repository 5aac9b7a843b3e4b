"""What happens to one request between its caller and its target."""
