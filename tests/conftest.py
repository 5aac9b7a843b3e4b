from hypothesis import Phase, settings

# A failing run in CI prints the example as it was found; `make fuzz` shrinks it.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    phases=(Phase.explicit, Phase.generate),
)
settings.register_profile("fuzz", derandomize=False, deadline=None, database=None)
settings.load_profile("ci")
