from bench.policy import measure


def test_same_seed_gives_the_same_figures_within_the_limits():
    first = measure("register-size", "flood", "steered", 3, run_ms=2_300)
    second = measure("register-size", "flood", "steered", 3, run_ms=2_300)
    assert first == second
    assert first.asked > 300
    assert first.above_slots == 0
    assert first.refused_inside == 0
    assert first.least_free_link >= 0
