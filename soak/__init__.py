"""A randomised fault soak of real processes on one machine.

``python -m soak --seconds 60 --seed 7`` starts a store, targets and instances, injects
the faults that the seed gives from outside the processes, and checks the observations
of callers and targets against the system's guarantees.
"""
