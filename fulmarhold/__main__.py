"""The command line interface `fulmarhold` for operators."""

from __future__ import annotations

import getpass
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
import yaml

from fulmarhold import __version__
from fulmarhold.configuration import configuration_to_document
from fulmarhold.errors import FulmarholdError
from fulmarhold.operators.commands import clusters, configurations, evacuations, questionnaires
from fulmarhold.operators.control import read_query
from fulmarhold.operators.queries import questionnaires as questionnaire_queries
from fulmarhold.operators.queries.status import format_status
from fulmarhold.operators.queries.traces import format_trace, read_log_lines, trace_request
from fulmarhold.questionnaire.explain import explain_setting

EXIT_FAILED = 1
EXIT_DIFFERS = 2

application = cyclopts.App(
    name="fulmarhold", version=__version__, help="Operate a fulmarhold fleet."
)

ControlEndpoints = Annotated[
    list[str], cyclopts.Parameter(name="--control", help="Operator endpoint (IP:port), repeatable.")
]


@application.command
def init(questionnaire: Path) -> None:
    """Write a commented questionnaire template."""
    questionnaires.write_questionnaire(questionnaire)
    print(f"wrote {questionnaire}")


@application.command
def check(questionnaire: Path) -> None:
    """Validate a questionnaire and report every problem."""
    questionnaire_queries.derive_from_file(questionnaire)
    print(f"{questionnaire} is in order")


@application.command
def generate(questionnaire: Path, *, output: Path | None = None) -> None:
    """Print the configuration derived from a questionnaire, or write it to a file."""
    if output is not None:
        questionnaires.write_configuration(questionnaire, output)
        print(f"wrote {output}")
        return
    document = configuration_to_document(questionnaire_queries.derive_from_file(questionnaire))
    print(yaml.safe_dump(document, sort_keys=False), end="")


@application.command
def explain(setting: str, *, questionnaire: Path) -> None:
    """Explain the answers behind a setting, such as services.NAME.warm_connections."""
    explanation = explain_setting(questionnaire_queries.load_questionnaire(questionnaire), setting)
    print(f"{explanation.setting} = {explanation.value}")
    print(f"  follows from: {', '.join(explanation.answers)}")
    print(f"  {explanation.reason}")


@application.command
def diff(questionnaire: Path, *, control: ControlEndpoints) -> int:
    """Show how the generated configuration differs from the accepted one."""
    accepted = read_query(control, "configuration")
    configuration = questionnaire_queries.derive_from_file(questionnaire)
    differences = questionnaire_queries.find_differences(accepted["configuration"], configuration)
    print(f"against revision {accepted['revision']}:")
    for difference in differences:
        print(f"  {difference}")
    return EXIT_DIFFERS if differences else 0


@application.command
def accept(
    questionnaire: Path,
    *,
    control: ControlEndpoints,
    base: int,
    operator: str = "",
    command_id: str = "",
) -> None:
    """Submit the generated configuration, based on the revision that diff showed."""
    configuration = questionnaire_queries.derive_from_file(questionnaire)
    acceptance = configurations.accept_configuration(
        control, configuration, base, operator or getpass.getuser(), command_id
    )
    print(f"accepted as revision {acceptance.revision}")
    if acceptance.is_in_force:
        print("in force everywhere")
    else:
        print(f"not in force yet; waiting for {', '.join(acceptance.waiting_for) or 'entries'}")


@application.command
def trace(request: str, *files: Path) -> int:
    """Show the log lines of one request, read from log files or standard input."""
    lines = trace_request(request, read_log_lines(files))
    print(format_trace(request, lines))
    return 0 if lines else EXIT_FAILED


@application.command
def status(*, control: ControlEndpoints) -> None:
    """Show the accepted revision, the control cluster and what each entry runs."""
    print(format_status(read_query(control, "status")))


@application.command
def form(*, control: ControlEndpoints) -> None:
    """Form a new control cluster from the given instances."""
    print(f"formed cluster {clusters.form_cluster(control)}")


@application.command
def admit(instance: str, *, control: ControlEndpoints) -> None:
    """Admit a new or repaired control instance, named by its operator endpoint."""
    print(f"admitted {clusters.admit_instance(control, instance)}; it votes once it has caught up")


@application.command
def remove(identity: str, *, control: ControlEndpoints) -> None:
    """Remove a lost control instance, named by its identity, which GET /queries/status lists."""
    clusters.remove_instance(control, identity)
    print(f"removed {identity}")


@application.command
def evacuate(data_centre: str, *, control: ControlEndpoints) -> None:
    """Have entries send nothing to the upstreams of a data centre."""
    evacuated = evacuations.order_evacuation(control, data_centre, is_evacuated=True)
    print(f"evacuated: {', '.join(evacuated)}")


@application.command
def restore(data_centre: str, *, control: ControlEndpoints) -> None:
    """End the evacuation of a data centre."""
    evacuated = evacuations.order_evacuation(control, data_centre, is_evacuated=False)
    print(f"evacuated: {', '.join(evacuated) or 'none'}")


@application.command(name="evacuations")
def list_evacuations(*, control: ControlEndpoints) -> None:
    """Show the evacuated data centres."""
    answer = read_query(control, "evacuations")
    print(f"evacuated: {', '.join(answer['data_centres']) or 'none'}")


@application.command
def drain(entry: str) -> None:
    """Announce that an entry, named by its caller endpoint, is leaving; the entry keeps serving."""
    configurations.drain_entry(entry)
    print(f"{entry} is leaving")


def main() -> None:
    """Run the command line interface."""
    try:
        sys.exit(application() or 0)
    except FulmarholdError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
