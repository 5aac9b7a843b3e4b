"""Direct sending: the instance that a caller is connected to sends to the target."""
