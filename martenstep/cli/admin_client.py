"""Requests to a gateway's admin listener; if a request fails, the program prints one line and exits with 1."""

from __future__ import annotations

import http.client
import sys
from typing import Any, NoReturn

import click
import msgspec

from martenstep.cli.common import parse_address

TIMEOUT_S = 30.0


def exit_with_error(text: str) -> NoReturn:
    """Print a line on standard error and exit with 1."""
    click.echo(text, err=True)
    sys.exit(1)


def send_request(admin: str, method: str, path: str) -> dict[str, Any]:
    """Send one request and return the JSON object of its response; exits with 1 if that fails."""
    host, port = parse_address("--admin", admin)
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        body = response.read()
        if response.status != 200:
            exit_with_error(f"{admin} answered with status {response.status}: {body.decode(errors='replace').strip()}")
        return msgspec.json.decode(body, type=dict[str, Any])
    except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
        exit_with_error(f"{admin}: {error}")
    finally:
        connection.close()
