"""``mallowlug fleet``: ask a relay's console what it holds of its fleet. Nothing is changed by any of it."""

from __future__ import annotations

import http.client
import time
from typing import Any

import click
import msgspec

from mallowlug.config import ConfigError, address_of

RESPONSE_TIMEOUT_S = 2.0  # s for the console's answer
STATES = ("alive", "suspect", "dead", "left")


class Console(click.ParamType[tuple[str, int]]):
    """``host:port``."""

    name = "HOST:PORT"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        """The address; a usage error where it is none."""
        try:
            return value if isinstance(value, tuple) else address_of(value)
        except ConfigError as error:
            self.fail(str(error), param, ctx)


console_option = click.option(
    "--console", type=Console(), envvar="ROUTER_CONSOLE", required=True, help="The relay's console."
)
json_option = click.option("--json", "plain", is_flag=True, help="As the console tells it.")


def fetch_view(console: tuple[str, int]) -> bytes:
    """The view as the console tells it; ``click.ClickException`` where it tells none."""
    connection = http.client.HTTPConnection(*console, timeout=RESPONSE_TIMEOUT_S)
    try:
        connection.request("GET", "/fleet")
        answer = connection.getresponse()
        body = answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise click.ClickException("{}:{} does not answer: {}".format(*console, error)) from None
    finally:
        connection.close()
    if answer.status != 200:
        raise click.ClickException(body.decode(errors="replace").strip())
    return body


def format_view(table: dict[str, Any]) -> list[str]:
    """What staff read: the relay's own place first, then the members by state."""
    cut = ", CUT OFF: fewer than half are heard" if table["cut_off"] else ""
    slow = f", finds itself slow ({table['health']})" if table["health"] else ""
    lines = [f"{table['relay']}: view {table['digest']}, parts for {table['group']} relays{cut}{slow}"]
    if table["clash"]:
        lines.append(f"ANOTHER PROCESS lives under this id, at {table['clash']}")
    width = max(map(len, table["members"]))
    for state in STATES:
        for name, row in table["members"].items():
            if row["state"] == state:
                since_s = (table["now_us"] - row["since_us"]) / 1e6
                lines.append(
                    f"{name:{width}}  {state:7}  life {row['life']}  {row['address']}  for {since_s:.1f} s"
                )
    return lines


@click.group("fleet")
def group() -> None:
    """Who is there, as one relay holds it. Exit codes: 0 told; 1 the console does not tell; 2 usage."""


@group.command("show")
@console_option
@json_option
def show(console: tuple[str, int], plain: bool) -> int:
    """The members, their states, and for how many parts are reckoned."""
    body = fetch_view(console)
    click.echo(body.decode().strip() if plain else "\n".join(format_view(msgspec.json.decode(body))))
    return 0


@group.command("watch")
@console_option
@click.option("--every", type=click.FloatRange(0.1), default=1.0, show_default=True, help="Seconds.")
@click.option("--times", type=click.IntRange(1), default=None, help="Stop after so many looks.")
def watch(console: tuple[str, int], every: float, times: int | None) -> int:
    """Tell each change of the view, until it is broken off."""
    polls, last = 0, ""
    while times is None or polls < times:
        table = msgspec.json.decode(fetch_view(console))
        members = " ".join(f"{name}={row['state']}/{row['life']}" for name, row in table["members"].items())
        if members != last:
            click.echo(f"{table['digest']}  parts {table['group']}  {members}")
        polls, last = polls + 1, members
        if times is None or polls < times:
            time.sleep(every)
    return 0


@group.command("why")
@click.argument("member")
@console_option
@json_option
def why(member: str, console: tuple[str, int], plain: bool) -> int:
    """Why MEMBER is held as it is: who said so, and over which path it was heard."""
    table = msgspec.json.decode(fetch_view(console))
    if (row := table["members"].get(member)) is None:
        raise click.ClickException(f"{member} is not known here")
    if plain:
        click.echo(msgspec.json.encode(row).decode())
        return 0
    since_s = (table["now_us"] - row["since_us"]) / 1e6
    click.echo(
        f"{member} is {row['state']} for {since_s:.1f} s: "
        f"said by {row['by'] or member}, heard by {row['path']}; "
        f"life {row['life']}, incarnation {row['incarnation']}, at {row['address']}, "
        f"zone {row['zone'] or '-'}, version {row['version'] or '-'}"
    )
    return 0
