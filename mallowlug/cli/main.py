"""The command line ``mallowlug COMMAND``. The platform starts the relay without a command.

Exit codes: 0 success, 1 failure, 2 unusable input or command line, 3 unknown.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module
from pathlib import Path

import click
import click.shell_completion

from mallowlug import start_signals

FILE = click.Path(path_type=Path)
# Command groups that are imported on use; most need additional libraries.
LAZY_GROUPS = {"fleet": "mallowlug.cli.fleet", "rig": "mallowlug.rig.cli", "sim": "mallowlug.rig.sim_cli"}


class LazyGroups(click.Group):
    """A group that imports its subgroups on use, so that commands work without the others' libraries."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return all command names, sorted."""
        return sorted([*super().list_commands(ctx), *LAZY_GROUPS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return a command; without its libraries, one that reports the missing library when it is run."""
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
    """Return a placeholder for a group whose optional dependencies are not installed."""
    message = f"mallowlug {name} needs {library}: pip install 'mallowlug[rig]'"

    @click.command(
        name,
        short_help=f"(needs {library}: pip install 'mallowlug[rig]')",
        add_help_option=False,
        context_settings={"ignore_unknown_options": True},
    )
    @click.argument("words", nargs=-1, type=click.UNPROCESSED)
    def placeholder(words: tuple[str, ...]) -> int:
        click.echo(message, err=True)
        return 2

    return placeholder


@click.group(cls=LazyGroups, no_args_is_help=False)
@click.version_option(package_name="mallowlug")
@click.pass_context
def root(context: click.Context) -> None:
    """A relay for parking-payment messages: one final answer for each, by six rules."""
    if context.invoked_subcommand != "run":
        start_signals.release()


@root.command("check")
@click.argument("file", type=FILE)
def check(file: Path) -> int:
    """Report every mistake in an operator FILE."""
    from mallowlug.operator import model  # noqa: PLC0415

    try:
        extras = model.load(file)
    except ValueError as error:
        click.echo(str(error), err=True)
        return 2
    click.echo(f"{file}: valid; additional fronts: {len(extras.fronts)}")
    return 0


@root.command("run")
@click.option("--operator", type=FILE, help="The operator file; without one all options have their defaults.")
def serve(operator: Path | None) -> int:
    """Serve in the foreground, as `python -m mallowlug` does."""
    from mallowlug.cli.run import run  # noqa: PLC0415

    return run(operator)


@root.command("completion")
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> int:
    """Print a completion script for SHELL; add it to the shell's startup file."""
    shell_completion = click.shell_completion.get_completion_class(shell)
    assert shell_completion is not None
    click.echo(shell_completion(root, {}, "mallowlug", "_MALLOWLUG_COMPLETE").source())
    return 0


def run_command(command: click.Command, argv: Sequence[str] | None, name: str) -> int:
    """Run a command line and return its exit code; usage errors are printed to standard error, with 2."""
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
    """Run one command and return its exit code."""
    return run_command(root, argv, "mallowlug")
