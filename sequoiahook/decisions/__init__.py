"""Decision logic without I/O: messages and the time in, effects out."""
