"""Tasks that own sockets and carry out the effects of decisions."""
