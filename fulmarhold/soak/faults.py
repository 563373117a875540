"""What is done to the fleet from outside; a registry, so that each fault is one function."""

from __future__ import annotations

import signal
from collections.abc import Callable
from contextlib import contextmanager
from typing import TYPE_CHECKING

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.consensus.records import encode_record
from fulmarhold.registry import Registry
from fulmarhold.soak.observations import EVERYTHING
from fulmarhold.soak.proxy import Harm, Proxy

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarhold.soak.processes import Instance
    from fulmarhold.soak.world import Place, World

Fault = Callable[["World"], None]

faults: Registry[Fault] = Registry("fault")

# A process that is stopped ends within its grace, and some time for the machine's load.
GRACE: Milliseconds = 9_000.0
# After a return, before the next control instance may be lost.
CATCH_UP: Milliseconds = 4_000.0
SERVE_ON: Milliseconds = 3_500.0
ADDRESS_REUSE: Milliseconds = 2_000.0
STORM_VERSIONS = 8
STORM_GAP: Milliseconds = 60.0


def _sleep(duration: Milliseconds) -> None:
    gevent.sleep(duration / SECOND)


def _between(world: World, least: Milliseconds, most: Milliseconds) -> Milliseconds:
    return world.random.uniform(least, most)


def _any_instance(world: World) -> Instance:
    return world.random.choice([*world.control, *world.entries])


@contextmanager
def _turn(world: World, instance: Instance | None) -> Iterator[bool]:
    """Yield whether an instance may be disturbed now; control instances are so one at a time.

    `None` stands for all instances. The turn ends when a control instance has caught up.
    """
    if instance is not None and instance.role == "entry":
        yield True
        return
    if not world.control_turn.acquire(blocking=False):
        yield False
        return
    try:
        yield True
        _sleep(CATCH_UP)
    finally:
        world.control_turn.release()


def _lose(world: World, instance: Instance, damage: Callable[[], None] = lambda: None) -> None:
    """Kill an instance and start it again."""
    with _turn(world, instance) as is_free:
        if is_free:
            with world.seen.disturbing("lost", instance.name):
                instance.kill()
                damage()
                _sleep(_between(world, 0.0, 1_500.0))
                instance.start()


@faults.register("kill")
def kill(world: World) -> None:
    """Kill any process."""
    _lose(world, _any_instance(world))


@faults.register("wipe")
def wipe(world: World) -> None:
    """Kill a control process and lose its disk."""
    instance = world.random.choice(world.control)
    _lose(world, instance, instance.wipe)


@faults.register("torn_log")
def torn_log(world: World) -> None:
    """Kill a control process; its last write was cut short."""
    instance = world.random.choice(world.control)
    record = encode_record(["entry", world.random.randbytes(200)])
    cut = world.random.randrange(1, len(record) - 1)
    _lose(world, instance, lambda: instance.tear_log(record[:cut]))


@faults.register("full_disk")
def full_disk(world: World) -> None:
    """Let a control process meet a full disk; it may end, and is started again."""
    instance = world.random.choice(world.control)
    with _turn(world, instance) as is_free:
        if is_free:
            with world.seen.disturbing("full disk", instance.name):
                instance.refuse_writes(is_full=True)
                _sleep(_between(world, 500.0, 2_000.0))
                instance.refuse_writes(is_full=False)


@faults.register("kill_all")
def kill_all(world: World) -> None:
    """Kill every process at the same moment."""
    with _turn(world, None) as is_free:
        if is_free:
            with world.seen.disturbing("all lost", EVERYTHING):
                everything = [*world.control, *world.entries]
                for instance in everything:
                    instance.signal(signal.SIGKILL)
                _sleep(_between(world, 100.0, 1_000.0))
                for instance in everything:
                    instance.kill()
                    instance.start()


@faults.register("terminate")
def terminate(world: World) -> None:
    """Stop any process as planned and start it again."""
    instance = _any_instance(world)
    with _turn(world, instance) as is_free:
        if not is_free:
            return
        life = instance.life
        with world.seen.disturbing("stopped", instance.name, is_planned=True):
            instance.signal(signal.SIGTERM)
            code = instance.await_exit(GRACE)
            # Unless another fault has started it again meanwhile.
            if instance.life == life:
                if code is None:
                    world.seen.broken.append(f"{instance.name} still ran {GRACE:.0f} ms later")
                instance.kill()
                instance.start()


@faults.register("freeze")
def freeze(world: World) -> None:
    """Let any process stand still."""
    instance = _any_instance(world)
    with _turn(world, instance) as is_free:
        if is_free:
            with world.seen.disturbing("frozen", instance.name):
                instance.signal(signal.SIGSTOP)
                _sleep(_between(world, 200.0, 4_000.0))
                instance.signal(signal.SIGCONT)


@faults.register("reload")
def reload(world: World) -> None:
    """Name other seeds in the settings of any process, with or without a signal."""
    instance = _any_instance(world)
    seeds = tuple(world.shuffled([control.address for control in world.control])[:3])
    with world.seen.disturbing("reloaded", instance.name, is_planned=True):
        instance.write_settings(seeds=seeds)
        if world.random.random() < 0.7:
            instance.signal(signal.SIGHUP)


def _harm(world: World, proxy: Proxy, subject: str) -> None:
    harm = world.random.choice(list(Harm))
    with world.seen.disturbing(f"network {harm.value}", subject):
        if harm is Harm.NONE:
            proxy.reset_connections()
            return
        proxy.delay = _between(world, 5.0, 150.0)
        proxy.harm = harm
        _sleep(_between(world, 300.0, 3_000.0))
        proxy.harm = Harm.NONE
        if world.random.random() < 0.5:
            proxy.reset_connections()


@faults.register("harm_callers")
def harm_callers(world: World) -> None:
    """Delay, reset, cut one way or silence the connections of callers to an entry."""
    entry = world.random.choice(world.entries)
    _harm(world, world.entry_proxies[entry.name], entry.name)


@faults.register("harm_upstream")
def harm_upstream(world: World) -> None:
    """Delay, reset, cut one way or silence the connections to an upstream."""
    place = world.random.choice(world.places)
    _harm(world, place.proxy, place.name)


@faults.register("grey_upstream")
def grey_upstream(world: World) -> None:
    """Let an upstream lose answers, shed, hang or be slow for a while."""
    place = world.random.choice(world.places)
    upstream = place.upstream
    what = world.random.choice(("losing", "shedding", "hanging", "work"))
    usual = getattr(upstream, what)
    with world.seen.disturbing(what, place.name):
        setattr(upstream, what, 60.0 if what == "work" else world.random.uniform(0.1, 0.8))
        _sleep(_between(world, 500.0, 4_000.0))
        setattr(upstream, what, usual)


def _replace(world: World, place: Place, service: str) -> None:
    _sleep(ADDRESS_REUSE)
    place.start(service)


@faults.register("crash_upstream")
def crash_upstream(world: World) -> None:
    """End an upstream without a word; another incarnation follows at its address."""
    place = world.random.choice(world.places)
    with place.turn, world.seen.disturbing("crashed", place.name):
        place.upstream.crash()
        _replace(world, place, place.service)


@faults.register("drain_upstream")
def drain_upstream(world: World) -> None:
    """Let an upstream leave as planned; another incarnation follows at its address."""
    place = world.random.choice(world.places)
    with place.turn:
        place.upstream.leave(SERVE_ON + _between(world, 0.0, 1_500.0))
        _replace(world, place, place.service)


@faults.register("reuse_address")
def reuse_address(world: World) -> None:
    """Let two upstreams of different services crash and return at each other's address."""
    one, other = world.random.sample(world.places, 2)
    if one.service == other.service:
        return
    first, second = sorted((one, other), key=lambda place: place.name)
    with first.turn, second.turn, world.seen.disturbing("addresses change", EVERYTHING):
        one.upstream.crash()
        other.upstream.crash()
        service, other_service = one.service, other.service
        _replace(world, one, other_service)
        other.start(service)


@faults.register("change")
def change(world: World) -> None:
    """Change the configuration."""
    world.operator.store(world.operator.make())


@faults.register("race")
def race(world: World) -> None:
    """Let two operators change the configuration at once."""
    made = [world.operator.make(), world.operator.make()]
    world.random.shuffle(made)
    gevent.joinall([gevent.spawn(world.operator.store, item) for item in made])


@faults.register("storm")
def storm(world: World) -> None:
    """Send configurations in quick succession."""
    sent = []
    for _ in range(STORM_VERSIONS):
        sent.append(gevent.spawn(world.operator.store, world.operator.make()))
        _sleep(STORM_GAP)
    gevent.joinall(sent)


@faults.register("invalid")
def invalid(world: World) -> None:
    """Send a configuration that can't hold, or other content under a number that is taken."""
    if world.random.random() < 0.5:
        world.operator.send_invalid()
    else:
        world.operator.send_other_content()
