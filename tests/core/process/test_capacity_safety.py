"""Property tests: the requests at a target stay within its limit under faults of routers and messages."""

from random import Random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from builders_capacity import CapacitySimulation, make_class
from limpetusher.core.settings import PolicySettings

ROUTERS = ["r1", "r2", "r3", "far1"]
NAMES = st.sampled_from(ROUTERS)
SEEDS = st.integers(0, 2**32 - 1)
SEARCH = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=150,
    suppress_health_check=[HealthCheck.too_slow],
)


class CapacityMachine(RuleBasedStateMachine):
    """Routers that lose, delay and reorder messages, pause, restart and read host lists at different times.

    The rule of an exchange is registered three times, so that the search chooses it more often.
    """

    policy = PolicySettings()
    target_class = make_class()
    warm = False

    @initialize(listed=st.sets(NAMES, min_size=1))
    def begin(self, listed):
        self.simulation = CapacitySimulation(self.policy, self.target_class, self.warm, sorted(listed))

    @rule(seed=SEEDS)
    def exchange(self, seed):
        self.simulation.exchange_with_faults(Random(seed))

    @rule(seed=SEEDS)
    def exchange_more(self, seed):
        self.simulation.exchange_with_faults(Random(seed))

    @rule(seed=SEEDS)
    def exchange_on(self, seed):
        self.simulation.exchange_with_faults(Random(seed))

    @rule(index=st.integers(0, 1000))
    def deliver_late(self, index):
        if self.simulation.packets:
            self.simulation.deliver(self.simulation.packets.pop(index % len(self.simulation.packets)))

    @rule(seconds=st.sampled_from([0.1, 0.6, 1.1, 2.1, 3.1, 6.0]))
    def let_time_pass(self, seconds):
        self.simulation.now += seconds

    @rule(name=NAMES, count=st.integers(1, 8))
    def finish(self, name, count):
        if name in self.simulation.nodes:
            self.simulation.finish(name, count)

    @rule(name=NAMES)
    def dispatch(self, name):
        if name in self.simulation.nodes:
            self.simulation.dispatch(name)

    @rule(name=NAMES, age=st.integers(0, 1))
    def restart(self, name, age):
        self.simulation.stop(name)
        self.simulation.start(name, age)

    @rule(name=NAMES)
    def stop(self, name):
        self.simulation.stop(name)

    @rule(name=NAMES)
    def leave(self, name):
        if name in self.simulation.nodes:
            self.simulation.leave(name)

    @rule(listed=st.sets(NAMES, min_size=1))
    def publish(self, listed):
        self.simulation.publish(sorted(listed))

    @rule(name=NAMES, age=st.integers(0, 1))
    def see_host_list(self, name, age):
        if name in self.simulation.nodes:
            self.simulation.read_host_list(name, age)

    @invariant()
    def within_limit(self):
        simulation = getattr(self, "simulation", None)
        limit = self.target_class.slots if self.warm else self.target_class.cold_slots
        assert simulation is None or simulation.most_in_use <= limit


class ColdMachine(CapacityMachine):
    """A target that always reports cold; borrowing is enabled and must not apply to it."""


class WarmMachine(CapacityMachine):
    """A warm target without borrowing, which is unsafe while a silent carrier lends to another owner."""

    policy = PolicySettings(borrow_after_seconds=1e9)
    target_class = make_class(slots=6, cold_slots=3)
    warm = True


@pytest.mark.parametrize("machine", [ColdMachine, WarmMachine])
def test_work_in_use_stays_within_the_limit(machine):
    """Guards against overload of a target when several routers regard it as their own or after a takeover."""
    run_state_machine_as_test(machine, settings=SEARCH)
