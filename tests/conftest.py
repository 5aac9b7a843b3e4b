from hypothesis import settings

settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
settings.register_profile("fuzz", derandomize=False, deadline=None, database=None)
settings.load_profile("ci")
