"""The daemon of an instance that sends requests to targets itself."""
