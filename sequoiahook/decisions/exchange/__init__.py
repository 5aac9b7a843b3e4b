"""Protocol that takes one request from its caller to a target and back."""
