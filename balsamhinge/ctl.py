"""balsamhingectl: the operators' command-line tool."""

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
CALL_S = 35.0
FOLLOW_S = 60.0
POLL_S = 0.25
# More findings than fit on a screen are counted instead of shown.
MOST_FINDINGS = 50
CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503
DEFAULT_URL = "http://127.0.0.1:8080"

PROG = "balsamhingectl"
EPILOG = """exit codes: 0 done; 1 refused or failed; 2 the text or the
command line has findings, nothing was changed; 3 another edit came first,
nothing was changed; 4 the instance or the store did not answer"""


ALL_HELP = f"print every finding, not the first {MOST_FINDINGS} alone"
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
    """A call to the instance failed.

    Parameters
    ----------
    code : int
        Exit code for it.
    message : str
        What to tell the operator.
    """

    def __init__(self, code, message):
        super().__init__(message)
        self.code = code


class Client:
    """Calls one instance's operator pages.

    Parameters
    ----------
    url, token : str
        Where, and the operators' token.
    """

    def __init__(self, url, token):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._client = httpx.Client(
            base_url=f"{url}/operator/",
            headers=headers,
            timeout=CALL_S,
            trust_env=False,
        )

    def call(self, method, path, headers=None, content=None):
        """Return the answer of a page as data.

        Raises
        ------
        CallFailed
        """
        try:
            response = self._client.request(
                method, path, headers=headers, content=content
            )
        except httpx.HTTPError as exc:
            raise CallFailed(EXIT_UNREACHABLE, f"no answer: {exc}") from exc
        if response.is_success:
            return response.json()
        raise failure_of(response)


def failure_of(response):
    """Return the error that tells what a page refused."""
    try:
        body = response.json()
    except ValueError:
        return CallFailed(EXIT_FAILED, f"status {response.status_code}")
    lines = [body["detail"]]
    for found in body["findings"]:
        lines.append(
            f"{found['file']}:{found['line']}: [{found['section']}] "
            f"{found['problem']}; {found['remedy']}"
        )
    codes = {
        CONFLICT: EXIT_CONFLICT,
        UNPROCESSABLE: EXIT_FINDINGS,
        UNAVAILABLE: EXIT_UNREACHABLE,
    }
    code = codes.get(response.status_code, EXIT_FAILED)
    return CallFailed(code, "\n".join(lines))


def show(args, data, columns):
    """Print rows as a table, or all data as JSON."""
    if args.format == "json":
        print(json.dumps(data, indent=2))
    else:
        print(tables.render(data, columns))


def check_configuration(args):
    """Check a text without an instance."""
    text = parsing.read_text(args.file)
    parsed = parsing.parse_plan(text, args.file)
    counts = {
        "services": len(parsed.services),
        "classes": len(parsed.classes),
        "groups": len(parsed.groups),
        "targets": len(parsed.targets),
    }
    show(args, [counts], list(counts))
    return EXIT_DONE


def apply_configuration(args):
    """Apply a text, and follow it until it is in force everywhere."""
    client = Client(args.url, args.token)
    text = parsing.read_text(args.file)
    parsing.parse_plan(text, args.file)
    base = args.base
    if base is None:
        base = client.call("GET", "configuration")["version"]
    version = put_text(client, text, base, args.author)
    return follow_version(args, client, version)


def put_text(client, text, base, author):
    """Apply a text on the condition of a base version."""
    answer = client.call(
        "PUT",
        "configuration",
        {"If-Match": str(base), "X-Author": author},
        text.encode(),
    )
    return answer["version"]


def follow_version(args, client, version):
    """Print progress until every live instance has a version in force."""
    end = time.monotonic() + FOLLOW_S
    while time.monotonic() < end:
        rows = client.call("GET", "status")["instances"]
        live = [row for row in rows if row["state"] == "live"]
        done = [row for row in live if row["version"] >= version]
        progress(f"version {version}: in force on {len(done)} of {len(live)}")
        if len(done) == len(live):
            progress("", end="\n")
            show(args, [{"version": version}], ["version"])
            return EXIT_DONE
        time.sleep(POLL_S)
    raise CallFailed(
        EXIT_FAILED, f"\nversion {version} is accepted, not yet in force"
    )


def progress(text, end=""):
    """Write a progress line over the one before it."""
    print(f"\r{text}", end=end, file=sys.stderr, flush=True)


def show_configuration(args):
    """Print the text in force."""
    shown = Client(args.url, args.token).call("GET", "configuration")
    if args.format == "json":
        print(json.dumps(shown, indent=2))
    else:
        print(f"# version {shown['version']} by {shown['author']}")
        print(shown["text"])
    return EXIT_DONE


def show_history(args):
    """Print the versions that were in force on the instance."""
    rows = Client(args.url, args.token).call("GET", "history")
    show(args, rows, ["version", "author", "edit"])
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
    show(args, status["services"], columns)
    return EXIT_DONE


def drain_target(args):
    """Mark a target as leaving, and follow it until it has retired."""
    client = Client(args.url, args.token)
    shown = client.call("GET", "configuration")
    text = editing.set_leaving(shown["text"], args.target)
    parsing.parse_plan(text, "configuration")
    put_text(client, text, shown["version"], args.author)
    end = time.monotonic() + FOLLOW_S
    while time.monotonic() < end:
        rows = client.call("GET", "status")["groups"]
        row = next(r for r in rows if r["target"] == args.target)
        voter = "voter" if row["voter"] else "no voter"
        progress(f"{args.target}: {row['role']}, {voter}    ")
        if row["role"] == "retired":
            progress("", end="\n")
            show(args, [row], ["group", "target", "role"])
            return EXIT_DONE
        time.sleep(POLL_S)
    raise CallFailed(
        EXIT_FAILED, f"\n{args.target} takes no new work, but has not retired"
    )


def promote(args):
    """Give a group another primary."""
    query = urllib.parse.urlencode(
        {"group": args.group, "target": args.target or ""}
    )
    client = Client(args.url, args.token)
    view = client.call("POST", f"promote?{query}")
    show(args, [view], ["group", "term", "primary", "voters"])
    return EXIT_DONE


def inspect_session(args):
    """Print what a session token holds."""
    query = urllib.parse.urlencode({"token": args.session})
    client = Client(args.url, args.token)
    seen = client.call("GET", f"session?{query}")
    rows = [{"group": g, "position": p} for g, p in seen.items()]
    show(args, rows, ["group", "position"])
    return EXIT_DONE


def show_fleet(args):
    """Print what instances of a fleet say of it, and of themselves."""
    views, failures = [], []
    for url in args.instances:
        try:
            views.append(get_fleet(url))
        except CallFailed as exc:
            failures.append(f"{url}: {exc}")
    if args.format == "json":
        print(json.dumps(views, indent=2))
    else:
        print(tables.render(views, FLEET_COLUMNS))
        if views:
            # What they say of the others is shown from one that has read
            # the store last.
            latest = min(views, key=knowledge_age_s)
            print(f"\nas {latest['instance']} sees it:")
            print(tables.render(latest["instances"], INSTANCE_COLUMNS))
            print(tables.render(latest["groups"], GROUP_COLUMNS))
    for failure in failures:
        print(f"{PROG}: {failure}", file=sys.stderr)
    return EXIT_UNREACHABLE if failures else EXIT_DONE


def knowledge_age_s(view):
    """Return the age of an instance's last reading of the store."""
    age_s = view["knowledge_age_s"]
    return float("inf") if age_s is None else age_s


def get_fleet(url):
    """Return what one instance says, see `show_fleet`."""
    try:
        response = httpx.get(f"{url}/status", timeout=CALL_S, trust_env=False)
    except httpx.HTTPError as exc:
        raise CallFailed(EXIT_UNREACHABLE, f"no answer: {exc}") from exc
    if not response.is_success:
        raise CallFailed(EXIT_FAILED, f"status {response.status_code}")
    return response.json()


def explain(args):
    """Print what collected log lines say of one request."""
    lines = []
    for name in args.files:
        with open(name, encoding="utf-8", errors="replace") as file:
            found = (explaining.parse_line(text, name) for text in file)
            lines += [line for line in found if line is not None]
    told = explaining.story(lines, args.request_id)
    if not told:
        raise CallFailed(
            EXIT_FAILED, f"{PROG}: no line names request {args.request_id}"
        )
    if args.format == "json":
        print(json.dumps([attrs.asdict(line) for line in told], indent=2))
        return EXIT_DONE
    rows = [
        {
            "time": line.at,
            "log": line.source,
            "event": line.event,
            "because": " ".join(f"{k}={v}" for k, v in line.fields.items()),
        }
        for line in told
    ]
    print(tables.render(rows, ["time", "log", "event", "because"]))
    return EXIT_DONE


def show_findings(findings, everything):
    """Print findings; only the first of very many."""
    shown = findings if everything else findings[:MOST_FINDINGS]
    for finding in shown:
        print(finding, file=sys.stderr)
    if len(shown) < len(findings):
        print(
            f"{len(findings)} findings, {len(findings) - len(shown)} of them "
            "not shown; --all shows them",
            file=sys.stderr,
        )


def build_parser():
    """Return the parser of the command line."""
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
    add(commands, "status", show_status)
    fleet = add(commands, "fleet", show_fleet)
    fleet.add_argument(
        "instances",
        nargs="+",
        metavar="URL",
        help="where an instance answers whether it is ready",
    )
    told = add(commands, "explain", explain)
    told.add_argument("request_id", metavar="ID")
    told.add_argument("files", nargs="+", metavar="FILE")
    target = subcommands(commands, "target")
    drain = add(target, "drain", drain_target)
    drain.add_argument("target")
    service = subcommands(commands, "service")
    add(service, "status", show_services)
    one = add(commands, "promote", promote)
    one.add_argument("group")
    one.add_argument("target", nargs="?")
    session = subcommands(commands, "session")
    inspect = add(session, "inspect", inspect_session)
    inspect.add_argument("session", metavar="TOKEN")
    return parser


def _add_configuration(commands):
    config = subcommands(commands, "config")
    check = add(config, "check", check_configuration)
    check.add_argument("file")
    check.add_argument("--all", action="store_true", help=ALL_HELP)
    apply = add(config, "apply", apply_configuration)
    apply.add_argument("file")
    apply.add_argument("--all", action="store_true", help=ALL_HELP)
    apply.add_argument(
        "--base", type=int, help="version that was edited (default: current)"
    )
    add(config, "show", show_configuration)
    add(config, "history", show_history)


def subcommands(commands, name):
    """Add a command that has commands of its own."""
    parser = commands.add_parser(name)
    return parser.add_subparsers(required=True, metavar="COMMAND")


def add(commands, name, run):
    """Add a command that calls `run`."""
    parser = commands.add_parser(name, help=run.__doc__.lower())
    parser.set_defaults(run=run)
    return parser


def main(argv=None):
    """Run the program; return its exit code."""
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
