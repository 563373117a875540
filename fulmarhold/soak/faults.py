"""Faults injected into the environment from outside, one registered function each."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.consensus.records import encode_record
from fulmarhold.registry import Registry
from fulmarhold.soak.checks import EVACUATION_BOUND
from fulmarhold.soak.observations import ALL_SUBJECTS, Evacuation
from fulmarhold.soak.odd_writer import send_odd_heartbeats
from fulmarhold.soak.proxy import NetworkFault, Proxy
from fulmarhold.soak.restarts import (
    freeze_for_a_while,
    kill_and_restart,
    reload_settings,
    reserve,
    stop_and_restart,
    stop_in_series,
)

if TYPE_CHECKING:
    from fulmarhold.soak.environment import Environment, UpstreamHost
    from fulmarhold.soak.processes import Instance

Fault = Callable[["Environment"], None]

faults: Registry[Fault] = Registry("fault")

LEAST_DRAIN_TIME: Milliseconds = 3_500.0
MOST_DRAIN_TIME: Milliseconds = 5_000.0
LEAST_PAUSE: Milliseconds = 600.0
MOST_PAUSE: Milliseconds = 3_000.0
ADDRESS_REUSE_DELAY: Milliseconds = 2_000.0
GREY_BEHAVIOURS = ("losing", "shedding", "hanging", "work", "cutting", "endless", "failing")
GREY_WORK: Milliseconds = 60.0
STORM_VERSIONS = 8
STORM_INTERVAL: Milliseconds = 60.0
# How much longer than its bound an evacuation lasts, so that there is something to check.
LEAST_EVACUATED, MOST_EVACUATED = 1_000.0, 4_000.0
EVACUATE = "evacuate"


def _any_instance(environment: Environment) -> Instance:
    return environment.random.choice([*environment.control, *environment.entries])


@faults.register("kill")
def kill(environment: Environment) -> None:
    """Kill a random process."""
    kill_and_restart(environment, _any_instance(environment))


@faults.register("wipe")
def wipe(environment: Environment) -> None:
    """Kill a control process and delete its data."""
    instance = environment.random.choice(environment.control)
    kill_and_restart(environment, instance, instance.delete_data)


@faults.register("torn_log")
def torn_log(environment: Environment) -> None:
    """Kill a control process and leave an incomplete record at the end of its log."""
    instance = environment.random.choice(environment.control)
    record = encode_record(["entry", environment.random.randbytes(200)])
    cut = environment.random.randrange(1, len(record) - 1)
    kill_and_restart(environment, instance, lambda: instance.append_torn_record(record[:cut]))


@faults.register("full_disk")
def full_disk(environment: Environment) -> None:
    """Fill the disk of a control process for a while; it must stay up."""
    instance = environment.random.choice(environment.control)
    with reserve(environment, instance) as is_reserved:
        if is_reserved:
            with environment.observations.disturbance("full disk", instance.name):
                instance.set_disk_full(is_full=True)
                environment.sleep_between(500.0, 2_000.0)
                instance.set_disk_full(is_full=False)


@faults.register("kill_all")
def kill_all(environment: Environment) -> None:
    """Kill every process at the same moment."""
    with reserve(environment, None) as is_reserved:
        if is_reserved:
            with environment.observations.disturbance("all lost", ALL_SUBJECTS):
                everything = [*environment.control, *environment.entries]
                for instance in everything:
                    instance.send_signal(signal.SIGKILL)
                environment.sleep_between(100.0, 1_000.0)
                for instance in everything:
                    instance.kill()
                    instance.start()


faults.register("stop_series")(stop_in_series)
faults.register("odd_heartbeats")(send_odd_heartbeats)


@faults.register("terminate")
def terminate(environment: Environment) -> None:
    """Stop a random process as planned and restart it."""
    stop_and_restart(environment, _any_instance(environment))


@faults.register("freeze")
def freeze(environment: Environment) -> None:
    """Suspend a random process for a while."""
    instance = _any_instance(environment)
    with reserve(environment, instance) as is_reserved:
        if is_reserved:
            freeze_for_a_while(environment, instance)


@faults.register("cut_start")
def cut_start(environment: Environment) -> None:
    """Restart a random process, and kill or freeze it while it starts."""
    kill_and_restart(environment, _any_instance(environment), is_cut_short=True)


@faults.register("reload")
def reload(environment: Environment) -> None:
    """Change the settings of a random process, with or without SIGHUP."""
    by_signal = environment.random.random() < 0.7
    reload_settings(environment, _any_instance(environment), by_signal=by_signal)


def _disturb_network(environment: Environment, proxy: Proxy, subject: str) -> None:
    fault = environment.random.choice(list(NetworkFault))
    with environment.observations.disturbance(f"network {fault.value}", subject):
        if fault is NetworkFault.NONE:
            proxy.reset_connections()
            return
        proxy.delay = environment.random.uniform(5.0, 150.0)
        proxy.fault = fault
        environment.sleep_between(300.0, 3_000.0)
        proxy.fault = NetworkFault.NONE
        if environment.random.random() < 0.5:
            proxy.reset_connections()


@faults.register("harm_callers")
def harm_callers(environment: Environment) -> None:
    """Delay, reset or block connections from callers to an entry, in one or both directions."""
    entry = environment.random.choice(environment.entries)
    _disturb_network(environment, environment.entry_proxies[entry.name], entry.name)


@faults.register("harm_upstream")
def harm_upstream(environment: Environment) -> None:
    """Delay, reset or block the connections to an upstream, in one or both directions."""
    host = environment.random.choice(environment.upstream_hosts)
    _disturb_network(environment, host.proxy, host.name)


@faults.register("grey_upstream")
def grey_upstream(environment: Environment) -> None:
    """Make an upstream drop, cut or never end responses, fail, shed, hang or be slow a while."""
    host = environment.random.choice(environment.upstream_hosts)
    upstream = host.upstream
    attribute = environment.random.choice(GREY_BEHAVIOURS)
    original = getattr(upstream, attribute)
    with environment.observations.disturbance(attribute, host.name):
        share = environment.random.uniform(0.1, 0.8)
        setattr(upstream, attribute, GREY_WORK if attribute == "work" else share)
        environment.sleep_between(500.0, 4_000.0)
        setattr(upstream, attribute, original)


def _restart_upstream(environment: Environment, host: UpstreamHost, service: str) -> None:
    gevent.sleep(ADDRESS_REUSE_DELAY / SECOND)
    host.start(service)


@faults.register("crash_upstream")
def crash_upstream(environment: Environment) -> None:
    """Crash an upstream and start another incarnation at its address."""
    host = environment.random.choice(environment.upstream_hosts)
    with host.lock, environment.observations.disturbance("crashed", host.name):
        host.upstream.crash()
        _restart_upstream(environment, host, host.service)


@faults.register("drain_upstream")
def drain_upstream(environment: Environment) -> None:
    """Drain an upstream as planned and start another incarnation at its address."""
    host = environment.random.choice(environment.upstream_hosts)
    with host.lock:
        host.upstream.drain(environment.random.uniform(LEAST_DRAIN_TIME, MOST_DRAIN_TIME))
        _restart_upstream(environment, host, host.service)


@faults.register("leave_by_answer")
def leave_by_answer(environment: Environment) -> None:
    """Let an upstream say in its answers only that it leaves, and replace it later."""
    host = environment.random.choice(environment.upstream_hosts)
    with host.lock, environment.observations.disturbance("leaves by answer", host.name):
        host.upstream.is_leaving = True
        environment.sleep_between(LEAST_DRAIN_TIME, MOST_DRAIN_TIME)
        host.upstream.crash()
        _restart_upstream(environment, host, host.service)


@faults.register("pause_upstream")
def pause_upstream(environment: Environment) -> None:
    """Let an upstream ask for no work for a while."""
    upstream = environment.random.choice(environment.upstream_hosts).upstream
    length = environment.random.uniform(LEAST_PAUSE, MOST_PAUSE)
    upstream.pausing_until = environment.clock.now() + length
    gevent.sleep(length / SECOND)


@faults.register("reuse_address")
def reuse_address(environment: Environment) -> None:
    """Crash two upstreams of different services and restart each at the other's address."""
    one, other = environment.random.sample(environment.upstream_hosts, 2)
    if one.service == other.service:
        return
    first, second = sorted((one, other), key=lambda host: host.name)
    disturbance = environment.observations.disturbance("addresses change", ALL_SUBJECTS)
    with first.lock, second.lock, disturbance:
        one.upstream.crash()
        other.upstream.crash()
        service, other_service = one.service, other.service
        _restart_upstream(environment, one, other_service)
        other.start(service)


@faults.register("change")
def change(environment: Environment) -> None:
    """Submit a new configuration."""
    environment.operator.store_next()


@faults.register("race")
def race(environment: Environment) -> None:
    """Submit two configurations concurrently, in random order."""
    configurations = [environment.operator.next_configuration() for _ in range(2)]
    environment.random.shuffle(configurations)
    gevent.joinall([gevent.spawn(environment.operator.store, item) for item in configurations])


@faults.register("storm")
def storm(environment: Environment) -> None:
    """Submit configurations in quick succession."""
    greenlets = []
    for _ in range(STORM_VERSIONS):
        greenlets.append(environment.spawn(environment.operator.store_next))
        gevent.sleep(STORM_INTERVAL / SECOND)
    gevent.joinall(greenlets)


@faults.register("invalid")
def invalid(environment: Environment) -> None:
    """Submit an invalid configuration, or different content for a stored version."""
    if environment.random.random() < 0.5:
        environment.operator.send_invalid()
    else:
        environment.operator.send_conflicting()


@faults.register(EVACUATE)
def evacuate(environment: Environment) -> None:
    """Evacuate a data centre for a while."""
    observations, operator = environment.observations, environment.operator
    data_centre = environment.random.choice(
        sorted({host.upstream.statement.data_centre for host in environment.upstream_hosts})
    )
    if operator.order_evacuation(data_centre, is_evacuated=True):
        evacuation = Evacuation(data_centre, observations.clock.now())
        observations.evacuations.append(evacuation)
        environment.sleep_between(
            EVACUATION_BOUND + LEAST_EVACUATED, EVACUATION_BOUND + MOST_EVACUATED
        )
        evacuation.ended_at = observations.clock.now()
    # An order that was not acknowledged may be in force as well.
    if not operator.order_evacuation(data_centre, is_evacuated=False):
        observations.violations.append(f"the evacuation of {data_centre} could not be ended")
