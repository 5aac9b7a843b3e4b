"""Messages that instances exchange, with one module per subject."""
