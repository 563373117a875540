"""Ends and restarts processes; several of these may affect one instance at the same time."""

from __future__ import annotations

import signal
from collections.abc import Callable
from contextlib import contextmanager
from typing import TYPE_CHECKING

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.soak.checks import GRACE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarhold.soak.environment import Environment
    from fulmarhold.soak.processes import Instance

# The grace period, plus time for load on the machine.
STOP_TIMEOUT: Milliseconds = 9_000.0
# Time for a restarted control instance to catch up before another may be disturbed.
CATCH_UP_TIME: Milliseconds = 4_000.0
LONGEST_FREEZE: Milliseconds = 4_000.0
# A fault within this time of a start meets a process that is still starting.
EARLY_TIME: Milliseconds = 2_000.0
# When something else happens in a planned stop, after its beginning.
LATEST_INTERRUPTION: Milliseconds = 4_000.0
SERIES_INTERVAL: Milliseconds = 1_000.0


@contextmanager
def reserve(environment: Environment, instance: Instance | None) -> Iterator[bool]:
    """Yield whether an instance may be disturbed now; control instances only one at a time.

    `None` stands for all instances. A reservation of control includes `CATCH_UP_TIME`.
    """
    if instance is not None and instance.role == "entry":
        yield True
        return
    if not environment.control_lock.acquire(blocking=False):
        yield False
        return
    try:
        yield True
        gevent.sleep(CATCH_UP_TIME / SECOND)
    finally:
        environment.control_lock.release()


def kill_and_restart(
    environment: Environment, instance: Instance, damage: Callable[[], None] = lambda: None, *,
    is_cut_short: bool = False,
) -> None:  # fmt: skip
    """Kill an instance, apply `damage` to it and restart it; at times cut the start short."""
    with reserve(environment, instance) as is_reserved:
        if is_reserved:
            with environment.observations.disturbance("lost", instance.name):
                instance.kill()
                damage()
                environment.sleep_between(0.0, 1_500.0)
                instance.start()
                if is_cut_short:
                    cut_start_short(environment, instance)


def freeze_for_a_while(environment: Environment, instance: Instance) -> None:
    """Suspend the process of an instance and let it go on."""
    with environment.observations.disturbance("frozen", instance.name):
        instance.send_signal(signal.SIGSTOP)
        environment.sleep_between(0.0, LONGEST_FREEZE)
        instance.send_signal(signal.SIGCONT)


def cut_start_short(environment: Environment, instance: Instance) -> None:
    """Kill or freeze the process of an instance that has just been started."""
    environment.sleep_between(0.0, EARLY_TIME)
    if environment.random.random() < 0.5:
        freeze_for_a_while(environment, instance)
        return
    with environment.observations.disturbance("lost", instance.name):
        instance.kill()
        environment.sleep_between(0.0, EARLY_TIME / 2)
        instance.start()


def cut_first_start_short(environment: Environment) -> None:
    """Kill or freeze a control process within `EARLY_TIME` of its first start."""
    cut_start_short(environment, environment.random.choice(environment.control))


def reload_settings(environment: Environment, instance: Instance, *, by_signal: bool) -> None:
    """Change the seeds in the settings of an instance, and tell it to read them or not."""
    seeds = tuple(environment.shuffled([control.address for control in environment.control])[:3])
    with environment.observations.disturbance("reloaded", instance.name, is_planned=True):
        instance.write_settings(seeds=seeds)
        if by_signal:
            environment.observations.reloads.append((instance.name, environment.clock.now()))
            instance.send_signal(signal.SIGHUP)


def stop_and_restart(environment: Environment, instance: Instance) -> None:
    """Stop an instance as planned and restart it, at times once more just after its start."""
    with reserve(environment, instance) as is_reserved:
        if not is_reserved:
            return
        with environment.observations.disturbance("stopped", instance.name, is_planned=True):
            _stop(environment, instance)
            instance.start()
            if environment.random.random() < 0.4:
                environment.sleep_between(0.0, EARLY_TIME)
                _stop(environment, instance)
                instance.start()


def stop_in_series(environment: Environment) -> None:
    """Stop several entries or all of them, each a moment after the one before."""
    entries = environment.entries
    count = environment.random.randint(min(2, len(entries)), len(entries))
    stops = []
    for entry in environment.random.sample(entries, count):
        stops.append(environment.spawn(stop_and_restart, environment, entry))
        gevent.sleep(SERIES_INTERVAL / SECOND)
    gevent.joinall(stops, raise_error=True)


def _stop(environment: Environment, instance: Instance) -> None:
    """Ask a process to stop; kill it at the end of the grace period, as the platform does.

    At times it may run on for a while, to see whether it ends by itself.
    """
    limit = environment.random.choice((GRACE, STOP_TIMEOUT))
    observations, incarnation = environment.observations, instance.incarnation
    started_at = environment.clock.now()
    _ask_to_stop(environment, instance)
    instance.wait_for_exit(environment.random.uniform(0.0, LATEST_INTERRUPTION))
    if instance.is_running and instance.incarnation == incarnation:
        environment.random.choice(_INTERRUPTIONS)(environment, instance)
        instance.wait_for_exit(started_at + limit - environment.clock.now())
    # Another fault may have restarted the process in the meantime.
    if instance.is_running and instance.incarnation == incarnation:
        if limit == STOP_TIMEOUT:
            age = started_at - instance.started_at
            observations.violations.append(
                f"{instance.name}, told to stop {age:.0f} ms after its start, ran {limit:.0f} ms on"
            )
        instance.kill()


def _ask_to_stop(environment: Environment, instance: Instance) -> None:
    if instance.is_running:
        process = instance.name, instance.incarnation
        environment.observations.stops.setdefault(process, environment.clock.now())
    instance.send_signal(signal.SIGTERM)


# What happens in the middle of a planned stop: nothing, a second request to stop, or changes.
_INTERRUPTIONS: tuple[Callable[[Environment, Instance], object], ...] = (
    lambda *_: None,
    _ask_to_stop,
    lambda environment, _: environment.spawn(environment.operator.store_next),
    lambda environment, instance: reload_settings(environment, instance, by_signal=True),
)
