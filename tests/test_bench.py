from bench.policy import measure


def test_same_seed_gives_the_same_figures_within_the_limits():
    one = measure("register-size", "flood", "steered", 3, run_ms=2_300)
    other = measure("register-size", "flood", "steered", 3, run_ms=2_300)
    assert one == other
    assert one.asked > 300
    assert one.above_slots == 0
    assert one.refused_inside == 0
    assert one.least_free_link >= 0
