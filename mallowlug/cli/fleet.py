"""``mallowlug fleet``: read-only commands that show a relay's view of its fleet, from its console."""

from __future__ import annotations

import http.client
import time
from typing import Any

import click
import msgspec

from mallowlug.config import ConfigError, address_of

RESPONSE_TIMEOUT_S = 2.0  # for the console's response
STATES = ("alive", "suspect", "dead", "left")


class Console(click.ParamType[tuple[str, int]]):
    """``host:port``."""

    name = "HOST:PORT"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        """Parse the address; an invalid one is a usage error."""
        try:
            return value if isinstance(value, tuple) else address_of(value)
        except ConfigError as error:
            self.fail(str(error), param, ctx)


console_option = click.option(
    "--console", type=Console(), envvar="ROUTER_CONSOLE", required=True, help="The relay's console."
)
json_option = click.option("--json", "plain", is_flag=True, help="Print the console's JSON.")


def fetch_view(console: tuple[str, int]) -> bytes:
    """Return the view as the console's JSON; raise ``click.ClickException`` if there is none."""
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
    """Format the view for operators: the relay's own status first, then the members by state."""
    cut = ", CUT OFF: fewer than half of the group are live" if table["cut_off"] else ""
    slow = f"; local health score {table['health']}" if table["health"] else ""
    lines = [f"{table['relay']}: view {table['digest']}, quota shares for {table['group']} relays{cut}{slow}"]
    if table["clash"]:
        lines.append(f"ANOTHER PROCESS uses this id, at {table['clash']}")
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
    """Fleet members as one relay sees them. Exit codes: 0 success; 1 no answer from the console; 2 usage."""


@group.command("show")
@console_option
@json_option
def show(console: tuple[str, int], plain: bool) -> int:
    """Show the members, their states, and the group size for quota shares."""
    body = fetch_view(console)
    click.echo(body.decode().strip() if plain else "\n".join(format_view(msgspec.json.decode(body))))
    return 0


@group.command("watch")
@console_option
@click.option("--every", type=click.FloatRange(0.1), default=1.0, show_default=True, help="Seconds.")
@click.option("--times", type=click.IntRange(1), default=None, help="Stop after this many polls.")
def watch(console: tuple[str, int], every: float, times: int | None) -> int:
    """Print each change of the view until interrupted."""
    polls, last = 0, ""
    while times is None or polls < times:
        table = msgspec.json.decode(fetch_view(console))
        members = " ".join(f"{name}={row['state']}/{row['life']}" for name, row in table["members"].items())
        if members != last:
            click.echo(f"{table['digest']}  group {table['group']}  {members}")
        polls, last = polls + 1, members
        if times is None or polls < times:
            time.sleep(every)
    return 0


@group.command("why")
@click.argument("member")
@console_option
@json_option
def why(member: str, console: tuple[str, int], plain: bool) -> int:
    """Explain MEMBER's state: which relay reported it, and by which path it was received."""
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
