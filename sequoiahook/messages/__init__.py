"""Messages that instances exchange, one module for each subject."""
