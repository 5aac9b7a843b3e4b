"""Tests of the guarantees of complete instances under combined, repeated faults."""

import copy
from collections import Counter

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sequoiahook.decisions.exchange.effects import Answer
from sequoiahook.world.organisation import key_digest
from tests.virtual_fleet import Fleet

NAMES = {"a-1": "dc-a", "a-2": "dc-a", "b-1": "dc-b", "b-2": "dc-b"}
DATA_CENTRE_PAIR = frozenset(("dc-a", "dc-b"))
KEY = "key-of-organisation-one"
RATE_PER_S = 100
BURST = 24
SLOTS = 2
START_MS = 12_000
RECOVERY_MS = 30_000
IN_FORCE_MS = 5_000
DOCUMENT = {
    "regions_by_name": {
        "north": {"data_centres": ["dc-a"]},
        "south": {"data_centres": ["dc-b"]},
    },
    "links_by_name": {
        "north-south": {
            "regions": ["north", "south"],
            "bits_per_second": 280_000_000,
            "one_way_ms": 10,
        }
    },
    "services_by_name": {
        "desk": {"path_prefix": "/desk", "deadline_ms": 1500},
        "vault": {"path_prefix": "/vault", "deadline_ms": 1500},
    },
    "targets_by_name": {
        name: {
            "service": name.split("-")[0],
            "data_centre": f"dc-{name.split('-')[1]}",
            "host": "127.0.0.1",
            "port": port,
            "slots": SLOTS,
        }
        for port, name in enumerate(("desk-a", "desk-b", "vault-b"), 9000)
    },
    "organisations_by_name": {
        "one": {
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
            "keys_by_name": {"first": {"digest": key_digest(KEY)}},
        }
    },
}


class CoreMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.fleet = Fleet(NAMES, DOCUMENT, seed)
        self.highest_by_process = {}
        self.checked_runs = 0
        self.withdrawn_at = None
        self.fleet.run(START_MS, self.check_numbers)

    @rule(
        name=st.sampled_from(sorted(NAMES)),
        method=st.sampled_from(["GET", "POST"]),
        service=st.sampled_from([b"/desk/x", b"/vault/x"]),
        count=st.integers(1, 12),
    )
    def send_requests(self, name, method, service, count):
        for _ in range(count):
            self.fleet.request(name, method, service, KEY)

    @rule(duration_ms=st.sampled_from([5, 40, 200, 1_000, 4_000]))
    def advance(self, duration_ms):
        self.fleet.run(duration_ms, self.check_numbers)

    @rule(
        service_ms=st.sampled_from([40, 400, 3_000]),
        delay_ms=st.sampled_from([2, 15, 60, 300]),
        faults=st.lists(
            st.tuples(
                st.sampled_from(["kill", "replace", "stop", "short", "long", "cut"]),
                st.sampled_from(sorted(NAMES)),
            ),
            min_size=1,
            max_size=2,
        ),
    )
    def fault_under_load(self, service_ms, delay_ms, faults):
        """Inject faults while requests are at all stages, then allow for takeovers."""
        for target in self.fleet.targets_by_name.values():
            target.service_ms = service_ms
        self.send_requests_everywhere()
        self.fleet.run(delay_ms, self.check_numbers)
        for fault, name in faults:
            self.inject(fault, name)
        self.send_requests_everywhere()
        for _ in range(6):
            self.fleet.run(1_000, self.check_numbers)
            self.send_requests_everywhere()

    def send_requests_everywhere(self):
        for name in NAMES:
            for method in ("POST", "GET", "POST"):
                self.fleet.request(name, method, b"/desk/x", KEY)
            self.fleet.request(name, "POST", b"/vault/x", KEY)

    def inject(self, fault, name):
        if fault == "kill":
            self.fleet.kill(name)
        elif fault == "replace":
            self.replace(name)
        elif fault == "stop":
            self.fleet.stop(name)
        elif fault == "cut":
            self.fleet.partition({DATA_CENTRE_PAIR})
        else:
            self.fleet.pause(name, 2_700 if fault == "short" else 7_000)

    @rule(name=st.sampled_from(sorted(NAMES)))
    def kill(self, name):
        self.fleet.kill(name)

    @rule(name=st.sampled_from(sorted(NAMES)))
    def replace(self, name):
        self.fleet.kill(name)
        self.fleet.boot(name)

    @rule(
        name=st.sampled_from(sorted(NAMES)),
        duration_ms=st.sampled_from([300, 1_500, 6_000]),
    )
    def pause(self, name, duration_ms):
        self.fleet.pause(name, duration_ms)

    @rule(is_partitioned=st.booleans())
    def partition(self, is_partitioned):
        self.fleet.partition({DATA_CENTRE_PAIR} if is_partitioned else set())

    @rule(is_up=st.booleans())
    def set_platform(self, is_up):
        self.fleet.is_platform_up = is_up

    @rule(name=st.sampled_from(sorted(NAMES)))
    def stop(self, name):
        self.fleet.stop(name)

    @rule(
        name=st.sampled_from(sorted(DOCUMENT["targets_by_name"])),
        service_ms=st.sampled_from([5, 40, 400, 3_000]),
        loses_answers=st.booleans(),
    )
    def change_target(self, name, service_ms, loses_answers):
        target = self.fleet.targets_by_name[name]
        target.service_ms = service_ms
        target.loses_answers = loses_answers

    def check_numbers(self):
        for name, number in self.fleet.number_by_name.items():
            process = (name, self.fleet.generation_by_name[name])
            assert number >= self.highest_by_process.get(process, 0), process
            self.highest_by_process[process] = number

    def runs(self):
        targets = self.fleet.targets_by_name.values()
        return [run for target in targets for run in target.runs]

    @invariant()
    def outcomes_match_the_runs(self):
        if not hasattr(self, "fleet"):
            return
        runs = self.runs()
        count_by_id = Counter(request_id for request_id, *_ in runs)
        for request_id, _, _, method in runs:
            assert method == "GET" or count_by_id[request_id] == 1, request_id
        for request_id, answer in self.fleet.answers_by_id.items():
            if isinstance(answer, Answer):
                assert answer.body == request_id.encode(), request_id
            elif answer.ran == "not run":
                assert not count_by_id[request_id], (request_id, answer)

    @invariant()
    def no_target_is_overloaded(self):
        if hasattr(self, "fleet"):
            for name, target in self.fleet.targets_by_name.items():
                assert target.running_max <= SLOTS, name

    @invariant()
    def rate_and_burst_hold(self):
        if not hasattr(self, "fleet"):
            return
        times = sorted(at for _, _, at, _ in self.runs())
        if len(times) == self.checked_runs:
            return
        self.checked_runs = len(times)
        for first, start in enumerate(times):
            for last in range(first + BURST, len(times)):
                allowed = BURST + RATE_PER_S * (times[last] - start) / 1000
                assert last - first + 1 <= allowed, (start, times[last])

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.is_platform_up = True
        fleet.partition(set())
        fleet.paused_until_by_name.clear()
        for target in fleet.targets_by_name.values():
            target.loses_answers = False
            target.service_ms = 5
        for name in NAMES:
            if name not in fleet.cores_by_name:
                fleet.boot(name)
        fleet.run(RECOVERY_MS, self.check_numbers)
        for name in NAMES:
            if name not in fleet.cores_by_name:
                fleet.boot(name)
        fleet.run(RECOVERY_MS, self.check_numbers)
        self.outcomes_match_the_runs()
        self.rate_and_burst_hold()
        request_ids_by_name = {
            name: fleet.request(name, "GET", b"/desk/rest", KEY)
            for name in fleet.cores_by_name
        }
        fleet.run(2_000)
        for name, request_id in request_ids_by_name.items():
            answer = fleet.answers_by_id.get(request_id)
            assert isinstance(answer, Answer), (name, answer)


TestCore = CoreMachine.TestCase
TestCore.settings = settings(max_examples=15, stateful_step_count=10)


def shifted_times(fleet):
    runs = fleet.targets_by_name["desk-b"].runs
    return sorted(at for _, _, at, _ in runs)


def test_planned_shift_moves_its_share_within_its_cap():
    cap_per_s, cap_burst = 5, 3
    shift = {
        "service": "desk",
        "source": "dc-a",
        "destination": "dc-b",
        "share_percent": 50,
        "cap": {"rate_per_s": cap_per_s, "burst": cap_burst},
    }
    fleet = Fleet(NAMES, {**DOCUMENT, "shifts_by_name": {"move": shift}}, 1)
    fleet.run(START_MS)
    for _ in range(100):
        fleet.request("a-1", "GET", b"/desk/x", KEY)
        fleet.request("a-2", "GET", b"/desk/x", KEY)
        fleet.run(60)
    times = shifted_times(fleet)
    assert len(times) >= cap_per_s * 6 * 2 // 3
    for first, start in enumerate(times):
        for last in range(first, len(times)):
            allowed = cap_burst + cap_per_s * (times[last] - start + 100) / 1000
            assert last - first + 1 <= allowed, (start, times[last])


def test_data_centre_serves_requests_after_it_restarts_alone():
    fleet = Fleet(NAMES, DOCUMENT, 1)
    fleet.run(START_MS)
    for name in NAMES:
        fleet.kill(name)
    fleet.run(1_000)
    for name in ("b-1", "b-2"):
        fleet.boot(name)
    fleet.run(START_MS)
    request_id = fleet.request("b-1", "GET", b"/desk/x", KEY)
    fleet.run(2_000)
    assert isinstance(fleet.answers_by_id[request_id], Answer)


def test_running_requests_of_a_stopping_owner_delay_no_others():
    fleet = Fleet(NAMES, DOCUMENT, 3)
    fleet.run(START_MS)
    owner, other = owner_and_other(fleet)
    fleet.targets_by_name["desk-a"].service_ms = 100
    request_ids = []
    for index in range(40):
        request_ids.append(fleet.request(other, "POST", b"/desk/x", KEY))
        fleet.run(50)
        if index == 10:
            fleet.stop(owner)
    fleet.run(2_000)
    unanswered = [
        request_id
        for request_id in request_ids
        if not isinstance(fleet.answers_by_id[request_id], Answer)
    ]
    assert not unanswered, [
        fleet.answers_by_id[request_id] for request_id in unanswered
    ]


def fleet_with_run_at_a_stopping_owner(entry, run_ms):
    """Return a fleet whose owner b-2 is stopped while it runs a request of an entry.

    Returns:
        The fleet and the id of the request.
    """
    document = copy.deepcopy(DOCUMENT)
    document["services_by_name"]["vault"]["deadline_ms"] = 30_000
    fleet = Fleet(NAMES, document, 7)
    fleet.run(50_000)
    for _ in range(3):
        fleet.request(entry, "GET", b"/vault/x", KEY)
        fleet.run(1_000)
    fleet.targets_by_name["vault-b"].service_ms = run_ms
    request_id = fleet.request(entry, "POST", b"/vault/x", KEY)
    fleet.run(1_000)
    assert fleet.cores_by_name["b-2"].open_execution_count == 1
    fleet.stop("b-2")
    return fleet, request_id


def test_stopping_owner_that_left_the_views_still_delivers_outcomes():
    fleet, request_id = fleet_with_run_at_a_stopping_owner("b-1", run_ms=10_000)
    fleet.run(12_000)
    assert isinstance(fleet.answers_by_id[request_id], Answer)


def test_stopping_owner_delivers_outcomes_to_other_data_centres():
    fleet, request_id = fleet_with_run_at_a_stopping_owner("a-1", run_ms=8_000)
    fleet.run(12_000)
    assert isinstance(fleet.answers_by_id[request_id], Answer)


def test_stopping_owner_exits_after_the_requests_of_other_instances():
    fleet, request_id = fleet_with_run_at_a_stopping_owner("b-1", run_ms=20_000)
    fleet.run(19_000)
    assert fleet.exits == []
    fleet.run(6_000)
    assert isinstance(fleet.answers_by_id[request_id], Answer)
    assert fleet.exits == [("b-2", 0)]


def test_withdrawn_key_does_not_affect_other_organisations():
    other_organisations = [f"other-{index}" for index in range(6)]
    organisations = dict(DOCUMENT["organisations_by_name"])
    for name in other_organisations:
        organisations[name] = {
            "rate_per_s": RATE_PER_S,
            "burst": BURST,
            "keys_by_name": {"first": {"digest": key_digest(f"key of {name}")}},
        }
    fleet = Fleet(NAMES, {**DOCUMENT, "organisations_by_name": organisations}, 5)
    fleet.run(START_MS)
    fleet.partition({DATA_CENTRE_PAIR})
    fleet.run(5_000)
    waiting_id = fleet.request("a-1", "GET", b"/vault/x", KEY)
    fleet.run(10)
    withdrawn = {"keys_by_name": {"first": {"withdrawn": True}}}
    fleet.patch("a-1", 1, {"organisations_by_name": {"one": withdrawn}})
    fleet.run(300)
    request_ids = [
        fleet.request("a-1", "GET", b"/desk/x", f"key of {name}")
        for name in other_organisations
    ]
    fleet.run(1_000)
    assert fleet.answers_by_id[waiting_id].status == 401
    for request_id in request_ids:
        answer = fleet.answers_by_id[request_id]
        assert isinstance(answer, Answer), answer


def owner_and_other(fleet):
    names = ("a-1", "a-2")
    owned = [
        n
        for n in names
        if "desk" in fleet.cores_by_name[n]._pool_owner.owned_by_service
    ]
    (other,) = set(names) - set(owned)
    return owned[0], other


def test_transferred_pool_counts_running_requests():
    fleet = Fleet(NAMES, DOCUMENT, 7)
    fleet.run(START_MS)
    owner, other = owner_and_other(fleet)
    target = fleet.targets_by_name["desk-a"]
    target.service_ms = 1_000
    for _ in range(SLOTS):
        fleet.request(owner, "POST", b"/desk/x", KEY)
    fleet.run(30)
    assert target.running == SLOTS
    fleet.stop(owner)
    for _ in range(20):
        fleet.request(other, "POST", b"/desk/x", KEY)
        fleet.run(20)
    assert target.running_max <= SLOTS


def test_handover_from_another_data_centre_without_credit_is_refused():
    fleet = Fleet(NAMES, DOCUMENT, 7)
    fleet.run(START_MS)
    core = fleet.cores_by_name["a-1"]
    core._steering.prepare_handover = lambda body, now: body
    request_ids = [fleet.request("a-1", "GET", b"/vault/x", KEY) for _ in range(3)]
    fleet.run(2_000)
    for request_id in request_ids:
        answer = fleet.answers_by_id[request_id]
        assert answer.cause == "no credit for the data centre", answer
    assert not fleet.targets_by_name["vault-b"].runs
