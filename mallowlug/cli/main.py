"""``mallowlug COMMAND``: what people call by hand. The platform's ``run`` line names no command.

Exit codes: 0 well, 1 not as wanted, 2 not usable (also a command line that is not), 3 unknown.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module
from pathlib import Path

import click
import click.shell_completion

FILE = click.Path(path_type=Path)
# Groups that are imported when asked for, most of them with libraries of their own.
LAZY_GROUPS = {"fleet": "mallowlug.cli.fleet", "rig": "mallowlug.rig.cli", "sim": "mallowlug.rig.sim_cli"}


class LazyGroups(click.Group):
    """A group whose rooms are imported when asked for, so that the others do without their libraries."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All names, in order."""
        return sorted([*super().list_commands(ctx), *LAZY_GROUPS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """A command; one whose libraries are not installed says so when it is called."""
        if name not in LAZY_GROUPS:
            return super().get_command(ctx, name)
        try:
            group = import_module(LAZY_GROUPS[name]).group
        except ModuleNotFoundError as error:
            if error.name is None or error.name.partition(".")[0] == "mallowlug":
                raise
            return unavailable_command(name, error.name)
        assert isinstance(group, click.Group)
        return group


def unavailable_command(name: str, library: str) -> click.Command:
    """What stands for a room whose extra is not installed."""
    message = f"mallowlug {name} needs {library}: pip install 'mallowlug[rig]'"

    @click.command(
        name,
        short_help=f"(needs {library}: pip install 'mallowlug[rig]')",
        add_help_option=False,
        context_settings={"ignore_unknown_options": True},
    )
    @click.argument("words", nargs=-1, type=click.UNPROCESSED)
    def stands_for(words: tuple[str, ...]) -> int:
        click.echo(message, err=True)
        return 2

    return stands_for


@click.group(cls=LazyGroups, no_args_is_help=False)
@click.version_option(package_name="mallowlug")
def root() -> None:
    """A relay for parking-payment messages: one final answer for each, by six rules."""


@root.command("check")
@click.argument("file", type=FILE)
def check(file: Path) -> int:
    """Name every mistake in an operator FILE."""
    from mallowlug.operator import model  # noqa: PLC0415

    try:
        extras = model.load(file)
    except ValueError as error:
        click.echo(str(error), err=True)
        return 2
    click.echo(f"{file}: in order; fronts beside the platform's: {len(extras.fronts)}")
    return 0


@root.command("run")
@click.option("--operator", type=FILE, help="The operator file; without one nothing is switched on.")
def serve(operator: Path | None) -> int:
    """Serve in the foreground, as `python -m mallowlug` does."""
    from mallowlug.cli.run import run  # noqa: PLC0415

    return run(operator)


@root.command("completion")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> int:
    """Print what lets a SHELL complete commands and options; put it into the shell's start file."""
    shell_completion = click.shell_completion.get_completion_class(shell)
    assert shell_completion is not None
    click.echo(shell_completion(root, {}, "mallowlug", "_MALLOWLUG_COMPLETE").source())
    return 0


def run_command(command: click.Command, argv: Sequence[str] | None, name: str) -> int:
    """Run a command line; its exit code. What cannot be used is told on standard error, with 2."""
    try:
        words = list(sys.argv[1:] if argv is None else argv)
        code: int | None = command.main(words, prog_name=name, standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return 1
    return code or 0


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command; its exit code."""
    return run_command(root, argv, "mallowlug")
