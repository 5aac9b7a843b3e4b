"""Daemons: tasks that own the sockets and execute the effects of decisions."""
