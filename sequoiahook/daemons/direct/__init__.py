"""The daemon of an instance that sends to targets itself."""
