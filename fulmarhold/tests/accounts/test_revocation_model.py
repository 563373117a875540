"""A model of withdrawn keys, from the acknowledgement of a configuration to requests at entries.

The members of control and the watchers of entries are the real ones. Messages are lost, repeated
and late, members and entries are suspended, cut off and started again. No entry may accept a keyed
request later than the bound after the acknowledgement of a version that it doesn't have.
"""

from __future__ import annotations

from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import seed as pinned_seed
from hypothesis import strategies as st

from fulmarhold.accounts.keys import KeyRefusal, KeyTable, digest_of_key, max_confirmed_age
from fulmarhold.clock import Clock
from fulmarhold.consensus.messages import KIND_COMMAND
from fulmarhold.membership.feed import FeedReply
from fulmarhold.membership.statements import STARTING, InstanceStatement
from fulmarhold.membership.watcher import FleetWatcher
from fulmarhold.observe.counters import Counters
from fulmarhold.routes.configuration import ClientAccount
from fulmarhold.tests.consensus.test_confirmation import ConfirmingCluster
from fulmarhold.tests.consensus.test_core import perform_random_action

REVOKE_WITHIN = 5_000.0
SCHEDULE_COUNT = 100
ACTIONS_PER_SCHEDULE = 100
SCHEDULE_SEED = 20261206
ENTRIES = 3
CALM_STEPS = 200
NEVER_AGE = 1e9
ASK_PERIOD = 400.0
KEY = b"key"


class ModelClock(Clock):
    def __init__(self, cluster):
        self._cluster = cluster

    def now(self):
        return self._cluster.now


class Entry:
    """An entry whose keys are those of the version that it has applied, the account's name."""

    def __init__(self, cluster):
        own = InstanceStatement("e", 1, 1, STARTING, "entry", "a", "e:80")
        self.watcher = FleetWatcher(
            own, lambda: (), self.apply, lambda: None, ModelClock(cluster), Counters()
        )
        self.version, self.asked_at, self.fails = 0, float("-inf"), False
        self.keys = KeyTable([self.account()])

    def account(self):
        return ClientAccount(f"v{self.version}", frozenset([digest_of_key(KEY)]))

    def apply(self, version, _):
        if self.fails:
            raise ValueError("can't be applied")
        self.version = version
        self.keys = KeyTable([self.account()])

    def accepts(self):
        found = self.keys.check(KEY, self.watcher.feed_age, max_confirmed_age(REVOKE_WITHIN))
        return not isinstance(found, KeyRefusal)


class FedCluster(ConfirmingCluster):
    """Control with entries that ask any member and get its answer at any time, or never."""

    def __init__(self, size, seed, loss):
        self.entries: dict[str, Entry] = {}
        self.resting, self.feeds, self.accepted = set(), [], 0
        self.fate = Random(seed)
        super().__init__(size, seed, loss)
        self.entries = {f"e{number}": Entry(self) for number in range(ENTRIES)}

    def version_of(self, core):
        committed = self.committed.items()
        held = [at for at, item in committed if item.kind == KIND_COMMAND]
        return max((index for index in held if index <= core.commit_index), default=0)

    def step(self):
        super().step()
        for name, entry in self.entries.items():
            if name not in self.resting and self.now >= entry.asked_at + ASK_PERIOD:
                entry.asked_at = self.now
                member = self.fate.choice(self.names)
                self.feeds.append((member, self.ask(name, entry, member, self.now)))
        feeds, self.feeds = self.feeds, []
        for recipient, arrive in feeds:
            stays = recipient in self.suspended | self.resting or self.fate.random() < 0.3
            if stays:
                self.feeds.append((recipient, arrive))
            elif self.fate.random() > self.loss:
                arrive()
        self.check_keys()

    def ask(self, name, entry, member, asked_at):
        version = entry.version

        def at_control():
            core = self.cores.get(member)
            if core is None:
                return
            age = min(self.now - core.confirmed_at(self.now), NEVER_AGE)
            newest = self.version_of(core)
            document = b"" if newest > version else None
            reply = FeedReply("s", False, age, 0, 0, (), (), newest, document)
            self.feeds.append((name, lambda: self.answer(name, entry, reply, asked_at)))

        return at_control

    def answer(self, name, entry, reply, asked_at):
        if self.entries[name] is entry:
            try:
                entry.watcher._apply_reply(reply, asked_at)
            except ValueError:
                entry.fails = False

    def check_keys(self):
        for name, entry in self.entries.items():
            if not entry.accepts():
                continue
            self.accepted += 1
            for index, at in self.acknowledged_at.items():
                if self.committed[index].kind == KIND_COMMAND and index > entry.version:
                    age = self.now - at
                    assert age <= REVOKE_WITHIN, f"{name} lacks version {index} for {age:.0f} ms"


def disturb(cluster):
    """Suspend, resume or start members and entries again."""
    fate, name = cluster.fate, cluster.fate.choice(list(cluster.entries))
    match fate.choices([
        "none",
        "member",
        "entry",
        "resume",
        "start",
        "unusable",
    ],
    [60, 8, 8, 16, 4, 4])[0]:  # fmt: skip
        case "member":
            cluster.suspended = {fate.choice(cluster.names)}
        case "entry":
            cluster.resting.add(name)
        case "resume":
            cluster.suspended, cluster.resting = set(), set()
        case "start":
            cluster.entries[name] = Entry(cluster)
        case "unusable":
            cluster.entries[name].fails = True


@pinned_seed(SCHEDULE_SEED)
@settings(
    max_examples=SCHEDULE_COUNT,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(seed=st.integers(0, 2**32), loss=st.sampled_from([0.0, 0.1, 0.3]))
def test_no_key_is_accepted_later_than_the_bound_after_it_was_withdrawn(seed, loss):
    cluster = FedCluster(3, seed, loss)
    for number in range(ACTIONS_PER_SCHEDULE):
        disturb(cluster)
        perform_random_action(cluster, number)
    cluster.suspended, cluster.resting, cluster.loss = set(), set(), 0.0
    cluster.heal_and_restart()
    accepted = cluster.accepted
    for _ in range(CALM_STEPS):
        for name in cluster.names:
            cluster.propose(name, b"calm")
        cluster.step()
    assert cluster.accepted > accepted, "keys are accepted once all is calm"
