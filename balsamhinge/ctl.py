"""balsamhingectl: command-line tool for operators."""

import argparse
import getpass
import json
import os
import sys
import time
import urllib.parse

import attrs
import httpx

from balsamhinge.configuration import editing
from balsamhinge.configuration import parsing
from balsamhinge import exceptions
from balsamhinge import explaining
from balsamhinge import tables

__all__ = ["main"]

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_FINDINGS = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
CALL_TIMEOUT_S = 35.0
PROGRESS_TIMEOUT_S = 60.0
PROGRESS_POLL_S = 0.25
# Further findings are counted, not shown, so that the first ones stay on
# the screen.
MAX_SHOWN_FINDINGS = 50
# HTTP status codes of the operator pages.
CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503
DEFAULT_URL = "http://127.0.0.1:8080"

PROG = "balsamhingectl"
EPILOG = """exit codes: 0 done; 1 refused or failed; 2 the text or the
command line has findings, nothing was changed; 3 another edit came first,
nothing was changed; 4 the instance or the store did not answer"""


ALL_HELP = f"print every finding, not the first {MAX_SHOWN_FINDINGS} alone"
FLEET_COLUMNS = [
    "instance",
    "data_centre",
    "ready",
    "isolated",
    "configuration",
    "duty",
    "fence",
    "knowledge_age_s",
    "leases_s",
    "store_incarnation",
]
INSTANCE_COLUMNS = [
    "name",
    "data_centre",
    "address",
    "state",
    "configuration",
]
GROUP_COLUMNS = [
    "group",
    "target",
    "data_centre",
    "role",
    "state",
    "epoch",
    "changing",
    "term",
    "applied",
    "behind",
    "heard_s",
    "silent_s",
]


class CallFailed(exceptions.BalsamhingeError):
    """A call to an instance failed.

    Parameters
    ----------
    code : int
        Exit code of the tool.
    message : str
        Message for the operator.
    """

    def __init__(self, code, message):
        super().__init__(message)
        self.code = code


class Client:
    """HTTP client for the operator pages of one instance.

    Parameters
    ----------
    url : str
        Base URL of the instance.
    token : str
        Bearer token of operators; empty sends none.
    """

    def __init__(self, url, token):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._client = httpx.Client(
            base_url=f"{url}/operator/",
            headers=headers,
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
        )

    def call(self, method, path, headers=None, content=None):
        """Call a page and return its decoded JSON body.

        Raises
        ------
        CallFailed
            If the instance does not answer, or answers with an error.
        """
        try:
            response = self._client.request(
                method, path, headers=headers, content=content
            )
        except httpx.HTTPError as exc:
            raise CallFailed(EXIT_UNREACHABLE, f"no answer: {exc}") from exc
        if response.is_success:
            return response.json()
        raise error_from_response(response)


def error_from_response(response):
    """Return the `CallFailed` for an error response of a page."""
    try:
        body = response.json()
    except ValueError:
        return CallFailed(EXIT_FAILED, f"status {response.status_code}")
    lines = [body["detail"]]
    for finding in body["findings"]:
        lines.append(
            f"{finding['file']}:{finding['line']}: [{finding['section']}] "
            f"{finding['problem']}; {finding['remedy']}"
        )
    codes = {
        CONFLICT: EXIT_CONFLICT,
        UNPROCESSABLE: EXIT_FINDINGS,
        UNAVAILABLE: EXIT_UNREACHABLE,
    }
    code = codes.get(response.status_code, EXIT_FAILED)
    return CallFailed(code, "\n".join(lines))


def print_rows(args, rows, columns):
    """Print rows as a table or as JSON, as `--format` says."""
    if args.format == "json":
        print(json.dumps(rows, indent=2))
    else:
        print(tables.render(rows, columns))


def check_configuration(args):
    """Check a configuration file without an instance."""
    text = parsing.read_text(args.file)
    parsed = parsing.parse_plan(text, args.file)
    counts = {
        "services": len(parsed.services),
        "classes": len(parsed.classes),
        "groups": len(parsed.groups),
        "targets": len(parsed.targets),
    }
    print_rows(args, [counts], list(counts))
    return EXIT_DONE


def apply_configuration(args):
    """Apply a configuration file and wait until it is in force."""
    client = Client(args.url, args.token)
    text = parsing.read_text(args.file)
    parsing.parse_plan(text, args.file)
    base = args.base
    if base is None:
        base = client.call("GET", "configuration")["version"]
    version = put_configuration(client, text, base, args.author)
    return wait_for_version(args, client, version)


def put_configuration(client, text, base, author):
    """Replace the configuration if its version is still `base`.

    Returns the new version.
    """
    answer = client.call(
        "PUT",
        "configuration",
        {"If-Match": str(base), "X-Author": author},
        text.encode(),
    )
    return answer["version"]


def wait_for_version(args, client, version):
    """Wait until all live instances have a version in force."""
    end = time.monotonic() + PROGRESS_TIMEOUT_S
    while time.monotonic() < end:
        rows = client.call("GET", "status")["instances"]
        live = [row for row in rows if row["state"] == "live"]
        applied = [row for row in live if row["version"] >= version]
        print_progress(
            f"version {version}: in force on {len(applied)} of {len(live)}"
        )
        if len(applied) == len(live):
            print_progress("", end="\n")
            print_rows(args, [{"version": version}], ["version"])
            return EXIT_DONE
        time.sleep(PROGRESS_POLL_S)
    raise CallFailed(
        EXIT_FAILED, f"\nversion {version} is accepted, not yet in force"
    )


def print_progress(text, end=""):
    """Overwrite the progress line on standard error."""
    print(f"\r{text}", end=end, file=sys.stderr, flush=True)


def show_configuration(args):
    """Print the configuration in force."""
    shown = Client(args.url, args.token).call("GET", "configuration")
    if args.format == "json":
        print(json.dumps(shown, indent=2))
    else:
        print(f"# version {shown['version']} by {shown['author']}")
        print(shown["text"])
    return EXIT_DONE


def show_history(args):
    """Print the configuration versions that the instance has used."""
    rows = Client(args.url, args.token).call("GET", "history")
    print_rows(args, rows, ["version", "author", "edit"])
    return EXIT_DONE


def show_status(args):
    """Print instances, groups and targets."""
    status = Client(args.url, args.token).call("GET", "status")
    if args.format == "json":
        print(json.dumps(status, indent=2))
        return EXIT_DONE
    print(
        tables.render(
            status["instances"], ["name", "data_centre", "state", "version"]
        )
    )
    columns = [
        "group",
        "target",
        "role",
        "state",
        "term",
        "voter",
        "applied",
        "age_s",
        "home",
        "connections",
        "queued",
    ]
    print(tables.render(status["groups"], columns))
    return EXIT_DONE


def show_services(args):
    """Print services by shutdown date."""
    status = Client(args.url, args.token).call("GET", "status")
    columns = ["service", "group", "depends_on", "shutdown", "days_left"]
    print_rows(args, status["services"], columns)
    return EXIT_DONE


def drain_target(args):
    """Mark a target as leaving and wait until it has retired."""
    client = Client(args.url, args.token)
    shown = client.call("GET", "configuration")
    text = editing.set_leaving(shown["text"], args.target)
    parsing.parse_plan(text, "configuration")
    put_configuration(client, text, shown["version"], args.author)
    end = time.monotonic() + PROGRESS_TIMEOUT_S
    while time.monotonic() < end:
        rows = client.call("GET", "status")["groups"]
        row = next(r for r in rows if r["target"] == args.target)
        voter = "voter" if row["voter"] else "no voter"
        print_progress(f"{args.target}: {row['role']}, {voter}    ")
        if row["role"] == "retired":
            print_progress("", end="\n")
            print_rows(args, [row], ["group", "target", "role"])
            return EXIT_DONE
        time.sleep(PROGRESS_POLL_S)
    raise CallFailed(
        EXIT_FAILED, f"\n{args.target} takes no new work, but has not retired"
    )


def promote(args):
    """Replace the primary of a group."""
    query = urllib.parse.urlencode(
        {"group": args.group, "target": args.target or ""}
    )
    client = Client(args.url, args.token)
    view = client.call("POST", f"promote?{query}")
    print_rows(args, [view], ["group", "term", "primary", "voters"])
    return EXIT_DONE


def inspect_session(args):
    """Print what a session token holds."""
    query = urllib.parse.urlencode({"token": args.session})
    client = Client(args.url, args.token)
    positions = client.call("GET", f"session?{query}")
    rows = [{"group": g, "position": p} for g, p in positions.items()]
    print_rows(args, rows, ["group", "position"])
    return EXIT_DONE


def show_fleet(args):
    """Print the status of a fleet as its instances report it."""
    views, failures = [], []
    for url in args.instances:
        try:
            views.append(fetch_fleet_status(url))
        except CallFailed as exc:
            failures.append(f"{url}: {exc}")
    if args.format == "json":
        print(json.dumps(views, indent=2))
    else:
        print(tables.render(views, FLEET_COLUMNS))
        if views:
            # The tables of instances and groups come from the instance
            # whose view of the store is the most recent.
            latest = min(views, key=knowledge_age_s)
            print(f"\nas {latest['instance']} sees it:")
            print(tables.render(latest["instances"], INSTANCE_COLUMNS))
            print(tables.render(latest["groups"], GROUP_COLUMNS))
    for failure in failures:
        print(f"{PROG}: {failure}", file=sys.stderr)
    return EXIT_UNREACHABLE if failures else EXIT_DONE


def knowledge_age_s(view):
    """Return the age of an instance's view of the store in seconds."""
    age_s = view["knowledge_age_s"]
    return float("inf") if age_s is None else age_s


def fetch_fleet_status(url):
    """Return the status page of one instance.

    Raises
    ------
    CallFailed
        If the instance does not answer, or answers with an error.
    """
    try:
        response = httpx.get(
            f"{url}/status", timeout=CALL_TIMEOUT_S, trust_env=False
        )
    except httpx.HTTPError as exc:
        raise CallFailed(EXIT_UNREACHABLE, f"no answer: {exc}") from exc
    if not response.is_success:
        raise CallFailed(EXIT_FAILED, f"status {response.status_code}")
    return response.json()


def explain(args):
    """Print the log lines that explain one request."""
    lines = []
    for name in args.files:
        with open(name, encoding="utf-8", errors="replace") as file:
            parsed = (explaining.parse_line(text, name) for text in file)
            lines += [line for line in parsed if line is not None]
    timeline = explaining.request_timeline(lines, args.request_id)
    if not timeline:
        raise CallFailed(
            EXIT_FAILED, f"{PROG}: no line names request {args.request_id}"
        )
    if args.format == "json":
        print(json.dumps([attrs.asdict(line) for line in timeline], indent=2))
        return EXIT_DONE
    rows = [
        {
            "time": line.at,
            "log": line.source,
            "event": line.event,
            "because": " ".join(f"{k}={v}" for k, v in line.fields.items()),
        }
        for line in timeline
    ]
    print(tables.render(rows, ["time", "log", "event", "because"]))
    return EXIT_DONE


def show_findings(findings, show_all):
    """Print findings, at most `MAX_SHOWN_FINDINGS` unless `show_all`."""
    shown = findings if show_all else findings[:MAX_SHOWN_FINDINGS]
    for finding in shown:
        print(finding, file=sys.stderr)
    if len(shown) < len(findings):
        print(
            f"{len(findings)} findings, {len(findings) - len(shown)} of them "
            "not shown; --all shows them",
            file=sys.stderr,
        )


def build_parser():
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog=PROG,
        description="See and change a running system.",
        epilog=EPILOG,
    )
    parser.add_argument(
        "--url", default=os.environ.get("BALSAMHINGE_URL", DEFAULT_URL)
    )
    parser.add_argument(
        "--token",
        default=os.environ.get("BALSAMHINGE_TOKEN", ""),
        help="operator token; better given as BALSAMHINGE_TOKEN",
    )
    parser.add_argument("--format", choices=["table", "json"], default="table")
    parser.add_argument("--author", default=getpass.getuser())
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_configuration(commands)
    add_command(commands, "status", show_status)
    fleet = add_command(commands, "fleet", show_fleet)
    fleet.add_argument(
        "instances",
        nargs="+",
        metavar="URL",
        help="where an instance answers whether it is ready",
    )
    explain_parser = add_command(commands, "explain", explain)
    explain_parser.add_argument("request_id", metavar="ID")
    explain_parser.add_argument("files", nargs="+", metavar="FILE")
    target = add_command_group(commands, "target")
    drain = add_command(target, "drain", drain_target)
    drain.add_argument("target")
    service = add_command_group(commands, "service")
    add_command(service, "status", show_services)
    promote_parser = add_command(commands, "promote", promote)
    promote_parser.add_argument("group")
    promote_parser.add_argument("target", nargs="?")
    session = add_command_group(commands, "session")
    inspect = add_command(session, "inspect", inspect_session)
    inspect.add_argument("session", metavar="TOKEN")
    return parser


def _add_configuration(commands):
    config = add_command_group(commands, "config")
    check = add_command(config, "check", check_configuration)
    check.add_argument("file")
    check.add_argument("--all", action="store_true", help=ALL_HELP)
    apply = add_command(config, "apply", apply_configuration)
    apply.add_argument("file")
    apply.add_argument("--all", action="store_true", help=ALL_HELP)
    apply.add_argument(
        "--base", type=int, help="version that was edited (default: current)"
    )
    add_command(config, "show", show_configuration)
    add_command(config, "history", show_history)


def add_command_group(commands, name):
    """Add a command with subcommands; return its subparsers."""
    parser = commands.add_parser(name)
    return parser.add_subparsers(required=True, metavar="COMMAND")


def add_command(commands, name, run):
    """Add a command that calls `run`; return its parser.

    The docstring of `run` is the help text.
    """
    parser = commands.add_parser(name, help=run.__doc__.lower())
    parser.set_defaults(run=run)
    return parser


def main(argv=None):
    """Run the tool; return its exit code."""
    args = build_parser().parse_args(argv)
    try:
        return args.run(args)
    except exceptions.ConfigurationError as exc:
        show_findings(exc.findings, getattr(args, "all", False))
        return EXIT_FINDINGS
    except CallFailed as exc:
        print(exc, file=sys.stderr)
        return exc.code
    except OSError as exc:
        problem = f"{exc.filename}: {exc.strerror}" if exc.filename else exc
        print(f"{PROG}: {problem}", file=sys.stderr)
        return EXIT_FINDINGS


if __name__ == "__main__":
    sys.exit(main())
