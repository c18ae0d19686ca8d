"""`report`: service-level burn and measures of request outcomes."""

import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from result import Err, Ok, Result

from ..foundation.exit_codes import ExitCode
from ..generated.messages import Service
from ..output.burn import BurnReport, render_report
from ..output.console import (
    make_console,
    print_error,
    print_json,
    print_problems,
)
from ..output.html_report import render_html
from ..reports.outcomes import (
    RequestOutcome,
    measure_outcomes,
    read_outcomes,
    tally_outcomes,
)
from ..reports.scrapes import (
    Snapshot,
    append_snapshots,
    read_snapshots,
    scrape,
    tally_snapshots,
)
from ..reports.slo import (
    Tally,
    collect_objectives,
    compute_burn,
    compute_series,
)
from .call import load_services
from .options import (
    DEFAULT_SETTINGS,
    ConfigurationOption,
    JsonOption,
    SettingsOption,
)

DEFAULT_HISTORY = Path('burn-history.jsonl')


@cappa.command(
    help='Show service-level burn for each service and customer.',
    description="""
The input is files of request outcomes in JSON lines, or `/metrics` of
daemons. Each scrape is appended to a history file, because burn over a
window is computed from earlier totals; run the command about once a
minute. Imbalance, head-of-line blocking and quality in the busiest 10 s
are computed from files of outcomes only.

Examples:

- `greengagepath report outcomes.jsonl --html burn.html`
- `greengagepath report --metrics http://10.0.0.7:9100/metrics`
""",
)
@dataclass
class Report:
    """Options of `report`."""

    files: Annotated[
        list[Path],
        cappa.Arg(
            value_name='FILE',
            num_args=-1,
            help='Request outcomes with time, service, customer, operation,'
            ' outcome, latency_ms and target.',
        ),
    ] = field(default_factory=list)
    urls: Annotated[
        list[str],
        cappa.Arg(
            long='--metrics',
            value_name='URL',
            help='Scrape this daemon; can be repeated.',
        ),
    ] = field(default_factory=list)
    history: Annotated[
        Path,
        cappa.Arg(long=True, value_name='FILE', help='History of scrapes.'),
    ] = DEFAULT_HISTORY
    html: Annotated[
        Path | None,
        cappa.Arg(
            long=True, value_name='FILE', help='Also write an HTML page.'
        ),
    ] = None
    configuration: ConfigurationOption = None
    settings: SettingsOption = DEFAULT_SETTINGS
    as_json: JsonOption = False

    def __call__(self) -> ExitCode:
        """Run the command."""
        if not self.files and not self.urls:
            print_error(
                'no input', 'give files of outcomes or use --metrics URL'
            )
            return ExitCode.BAD_USAGE
        match load_services(self.configuration, self.settings):
            case Ok(services):
                return self._run(services)
            case Err(code):
                return code
        return ExitCode.FAILURE

    def _run(self, services: list[Service]) -> ExitCode:
        outcomes: list[RequestOutcome] = []
        for path in self.files:
            match read_outcomes(path):
                case Ok(found):
                    outcomes.extend(found)
                case Err(errors):
                    print_problems(errors)
                    return ExitCode.BAD_USAGE
        snapshots: list[Snapshot] = []
        if self.urls:
            match scrape_all(self.urls, self.history):
                case Ok(found):
                    snapshots = found
                case Err(reasons):
                    print_problems(reasons)
                    return ExitCode.UNREACHABLE
        self._show(make_report(services, outcomes, snapshots))
        return ExitCode.OK

    def _show(self, report: BurnReport) -> None:
        if self.as_json:
            print_json(msgspec.to_builtins(report, str_keys=True))
        else:
            make_console().print(render_report(report))
        if self.html is not None:
            self.html.write_text(render_html(report), encoding='utf-8')


def scrape_all(
    urls: list[str], history: Path
) -> Result[list[Snapshot], list[str]]:
    """Scrape daemons and return their snapshots, old and new.

    New snapshots are appended to the `history` file. The error of each
    failed scrape is printed and its daemon left out. Returns an error if
    every scrape failed or the history cannot be read.
    """
    loaded = read_snapshots(history)
    if isinstance(loaded, Err):
        return Err([loaded.err_value])
    scraped = [scrape(url) for url in urls]
    reasons = [found.err_value for found in scraped if isinstance(found, Err)]
    new = [found.ok_value for found in scraped if isinstance(found, Ok)]
    if not new:
        return Err(reasons)
    print_problems(reasons)
    append_snapshots(history, new)
    earlier = [entry for entry in loaded.ok_value if entry.source in urls]
    return Ok(earlier + new)


def make_report(
    services: list[Service],
    outcomes: list[RequestOutcome],
    snapshots: list[Snapshot],
) -> BurnReport:
    """Return the report; its windows end at the last outcome or scrape."""
    objectives = collect_objectives(services)
    tallies: list[Tally] = tally_outcomes(outcomes, objectives)
    tallies.extend(tally_snapshots(snapshots, objectives))
    times = [entry.time for entry in (*outcomes, *snapshots)]
    now_s = max(times, default=time.time())
    return BurnReport(
        now_s=now_s,
        burn=compute_burn(tallies, objectives, now_s),
        measures=measure_outcomes(outcomes, services),
        series=compute_series(tallies, objectives),
    )
