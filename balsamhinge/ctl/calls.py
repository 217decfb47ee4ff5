"""Calls of the command-line tool to instances, and its exit codes."""

import concurrent.futures

import httpx

from balsamhinge import exceptions

__all__ = [
    "CallFailed",
    "Client",
    "EXIT_CONFLICT",
    "EXIT_DONE",
    "EXIT_FAILED",
    "EXIT_FINDINGS",
    "EXIT_UNREACHABLE",
    "fetch_all",
    "fetch_fleet_status",
]

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_FINDINGS = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
CALL_TIMEOUT_S = 35.0
# Status pages that are fetched at the same time.
FETCH_WORKERS = 16
# HTTP status codes of the operator pages.
CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503


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


def fetch_all(urls):
    """Fetch the status pages of instances.

    Returns
    -------
    views : list of dict
        The pages of the instances that answered.
    failures : list of str
        The others, each with its URL and the reason.
    """
    views, failures = [], []
    with concurrent.futures.ThreadPoolExecutor(FETCH_WORKERS) as workers:
        fetches = [workers.submit(fetch_fleet_status, url) for url in urls]
    for url, fetch in zip(urls, fetches, strict=True):
        try:
            views.append(fetch.result())
        except CallFailed as exc:
            failures.append(f"{url}: {exc}")
    return views, failures


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
    except (httpx.HTTPError, httpx.InvalidURL) as exc:
        raise CallFailed(EXIT_UNREACHABLE, f"no answer: {exc}") from exc
    if not response.is_success:
        raise CallFailed(EXIT_FAILED, f"status {response.status_code}")
    try:
        view = response.json()
    except ValueError as exc:
        raise CallFailed(EXIT_FAILED, "the answer is not JSON") from exc
    if not isinstance(view, dict):
        raise CallFailed(EXIT_FAILED, "the answer is not a status page")
    return view
