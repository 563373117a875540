"""Seeds that found a cluster while members are killed, suspended, cut off and lose their disks.

Runs the real decisions under random schedules in which messages are delayed, reordered and lost. At
most one cluster may be decided whatever happens, and once a majority of the seeds with votes runs
undisturbed, it has decided one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import seed as pinned_seed
from hypothesis import strategies as st

from fulmarhold.consensus.founding import (
    NO_BALLOT,
    FoundingRequest,
    FoundingRound,
    FoundingVote,
    answer,
    may_vote,
    recognise,
)

SEEDS = ("a", "b", "c")
SCHEDULE_COUNT = 2_000
ACTIONS_PER_SCHEDULE = 150
SCHEDULE_SEED = 20261205


@dataclass
class Seed:
    """A machine: its disk, and the process that may run on it."""

    endpoint: str
    identity: str
    vote: FoundingVote | None = None
    may_begin: bool = True
    is_running: bool = False
    is_suspended: bool = False
    current: FoundingRound | None = None
    proposal: Any = None

    @property
    def is_active(self) -> bool:
        return self.is_running and not self.is_suspended


@dataclass
class Founding:
    """The seeds, the messages on their way and what was decided."""

    random: Random
    seeds: dict[str, Seed] = field(default_factory=dict)
    messages: list[tuple[Any, ...]] = field(default_factory=list)
    decided: list[Any] = field(default_factory=list)
    numbers: int = 0
    lost: str | None = None

    def fresh(self, prefix: str) -> str:
        self.numbers += 1
        return f"{prefix}{self.random.randrange(1_000)}-{self.numbers}"

    def start(self, seed: Seed, *, is_first_start: bool) -> None:
        seed.is_running, seed.is_suspended = True, False
        seed.may_begin = is_first_start
        seed.current = seed.proposal = None

    def kill(self, seed: Seed) -> None:
        seed.is_running = False

    def lose_disk(self, seed: Seed) -> None:
        self.kill(seed)
        seed.identity, seed.vote = self.fresh(seed.endpoint), None

    def introduce(self, seed: Seed) -> None:
        """Ask those that run; a seed that is suspended or down answers nothing."""
        if seed.vote is not None or not seed.may_begin:
            return
        replies = []
        for other in self.seeds.values():
            if other is not seed and other.is_active:
                request = FoundingRequest(seed.endpoint, seed.identity)
                other.vote, reply = answer(other.vote, request, other.identity, "")
                replies.append(reply)
        if may_vote(replies):
            seed.vote = FoundingVote(SEEDS, {seed.endpoint: seed.identity})
        else:
            seed.may_begin = False

    def begin_round(self, seed: Seed) -> None:
        if seed.vote is None:
            self.introduce(seed)
            return
        seed.current, seed.proposal = FoundingRound(seed.vote, seed.identity), None
        self.send_all(seed)

    def send_all(self, seed: Seed) -> None:
        assert seed.current is not None
        request = FoundingRequest(seed.endpoint, seed.identity, seed.current.ballot, seed.proposal)
        # The own answer comes first: a proposer stores its ballot before it uses it.
        self.deliver_request(seed.endpoint, request)
        own = self.messages.pop()
        if not own[3].is_granted:
            seed.current = None
            return
        self.take_reply(*own[1:])
        for endpoint in SEEDS:
            if endpoint != seed.endpoint:
                self.messages.append(("request", endpoint, request))

    def deliver(self, number: int) -> None:
        kind, endpoint, *rest = self.messages.pop(number)
        if not self.seeds[endpoint].is_running:
            return
        if self.seeds[endpoint].is_suspended:
            self.messages.append((kind, endpoint, *rest))
        elif kind == "request":
            self.deliver_request(endpoint, *rest)
        else:
            self.take_reply(endpoint, *rest)

    def deliver_request(self, endpoint: str, request: FoundingRequest) -> None:
        seed = self.seeds[endpoint]
        seed.vote, reply = answer(seed.vote, request, seed.identity, "")
        self.messages.append(("reply", request.endpoint, endpoint, reply, request))

    def take_reply(self, endpoint: str, sender: str, reply: Any, request: Any) -> None:
        seed = self.seeds[endpoint]
        if seed.vote is None or seed.current is None or request.ballot != seed.current.ballot:
            return
        if request.identity != seed.identity or request.proposal != seed.proposal:
            return
        known = recognise(seed.vote, sender, reply.identity)
        if known is None:
            return
        seed.vote = known
        if seed.proposal is not None:
            seed.current.add_acceptance(sender, reply)
            if seed.current.is_decided:
                self.decided.append(seed.proposal)
            return
        seed.current.add_promise(sender, reply)

    def propose(self, seed: Seed) -> None:
        if seed.vote is None or seed.current is None or seed.proposal is not None:
            return
        proposal = seed.current.propose(self.fresh("cluster"), seed.vote.known)
        if proposal is not None:
            seed.proposal = proposal
            self.send_all(seed)

    def check(self) -> None:
        assert len({repr(proposal) for proposal in self.decided}) <= 1, self.decided

    def calm_down(self) -> None:
        """Deliver all messages to those that can run, and let each seed propose in its turn."""
        for seed in self.seeds.values():
            if not seed.is_running and seed.endpoint != self.lost:
                self.start(seed, is_first_start=seed.may_begin)
            seed.is_suspended = False
        for _ in range(4):
            for seed in self.seeds.values():
                if not seed.is_running:
                    continue
                self.deliver_all()
                self.begin_round(seed)
                self.deliver_all()
                self.propose(seed)
                self.deliver_all()
                self.check()

    def deliver_all(self) -> None:
        while self.messages:
            self.deliver(0)


def act(founding: Founding) -> None:
    random = founding.random
    seed = founding.seeds[random.choice(SEEDS)]
    others = [other for other in founding.seeds.values() if other is not seed]
    match random.choices(
        ["deliver", "lose", "round", "propose", "kill", "start", "suspend", "resume", "wipe"],
        [40, 4, 10, 14, 4, 12, 3, 8, 3],
    )[0]:
        case "deliver" if founding.messages:
            founding.deliver(random.randrange(len(founding.messages)))
        case "lose" if founding.messages:
            founding.messages.pop(random.randrange(len(founding.messages)))
        case "round" if seed.is_active:
            founding.begin_round(seed)
        case "propose" if seed.is_active:
            founding.propose(seed)
        case "kill" if seed.is_running:
            founding.kill(seed)
        case "start" if not seed.is_running:
            # A process that has stored no vote takes no part if it isn't a first start any more.
            may_lose_its_part = founding.lost in (None, seed.endpoint)
            is_first_start = seed.may_begin and (random.random() < 0.5 or not may_lose_its_part)
            if not is_first_start and seed.vote is None:
                founding.lost = seed.endpoint
            founding.start(seed, is_first_start=is_first_start)
        case "suspend" if seed.is_running:
            seed.is_suspended = True
        case "resume":
            seed.is_suspended = False
        case "wipe" if founding.lost in (None, seed.endpoint):
            founding.lost = seed.endpoint
            founding.lose_disk(seed)
            # Without its disk, it may begin again only where all others can answer for its vote.
            is_first_start = random.random() < 0.5 and all(other.is_active for other in others)
            founding.start(seed, is_first_start=is_first_start)
            founding.introduce(seed)


def run_schedule(number: int) -> Founding:
    founding = Founding(Random(number))
    for endpoint in SEEDS:
        founding.seeds[endpoint] = Seed(endpoint, founding.fresh(endpoint))
    founding.messages.clear()
    for seed in founding.seeds.values():
        founding.start(seed, is_first_start=True)
    for _ in range(ACTIONS_PER_SCHEDULE):
        act(founding)
        founding.check()
    founding.calm_down()
    return founding


# Guards against two clusters, and against a start that founds none because one member ended in it.
@settings(
    max_examples=SCHEDULE_COUNT,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@pinned_seed(SCHEDULE_SEED)
@given(st.integers(0, 2**32))
def test_whichever_member_ends_when_one_cluster_is_founded_and_never_two(number):
    assert run_schedule(number).decided


# Guards against a second cluster by members that all lost their votes after one was decided.
def test_members_without_their_votes_found_nothing():
    founding = Founding(Random(1))
    for endpoint in SEEDS:
        founding.seeds[endpoint] = Seed(endpoint, founding.fresh(endpoint))
        founding.start(founding.seeds[endpoint], is_first_start=True)
    founding.calm_down()
    assert founding.decided
    decided = len(founding.decided)
    for endpoint in ("a", "b"):
        founding.lose_disk(founding.seeds[endpoint])
        founding.start(founding.seeds[endpoint], is_first_start=False)
    founding.calm_down()
    assert len(founding.decided) == decided


# Guards against a late founding that is stopped by a seed which answers without a vote.
def test_a_member_that_started_after_the_first_start_has_no_vote():
    request = FoundingRequest("a", "a1", NO_BALLOT)
    vote, reply = answer(None, request, "b1", "")
    assert vote is None and not reply.has_vote and not reply.is_granted
