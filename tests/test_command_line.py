"""The command line: what is not usable ends with 2 and says why; rooms do without each other's libraries."""

from __future__ import annotations

import pytest

from mallowlug.cli import main as cli
from tests.world import ROOT

SWARM = str(ROOT / "scenarios" / "swarm.toml")


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (["nonsense"], "No such command 'nonsense'"),
        (["check"], "Missing argument 'FILE'"),
        (["run", "--operator"], "requires an argument"),
        (["rig", "run", SWARM, "--relays", "0"], "0 is not in the range"),
        (["sim", "sweep", SWARM, "--seeds", "9-3"], "no seed in '9-3'"),
        (["sim", "sweep", SWARM, "--seeds", "a"], "not A-B: 'a'"),
        (["sim", "hours", SWARM, "--hours", "1"], "no room for a lull"),
    ],
)
def test_a_line_that_cannot_be_used_ends_with_2(
    words: list[str], told: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(words) == 2
    assert told in capsys.readouterr().err


def test_a_room_without_its_libraries_says_what_to_install(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(cli.ROOMS, "rig", "no_such_library.cli")
    assert cli.main(["rig", "run", "x.toml", "--live"]) == 2
    assert capsys.readouterr().err == "mallowlug rig needs no_such_library: pip install 'mallowlug[rig]'\n"
    assert cli.main(["--help"]) == 0
    shown = capsys.readouterr().out
    assert "needs no_such_library" in shown
    assert "simulated time" in shown


def test_shells_complete_the_commands_of_every_room(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(["completion", "bash"]) == 0
    assert "_MALLOWLUG_COMPLETE" in capsys.readouterr().out
    monkeypatch.setenv("_MALLOWLUG_COMPLETE", "bash_complete")
    monkeypatch.setenv("COMP_WORDS", "mallowlug sim s")
    monkeypatch.setenv("COMP_CWORD", "2")
    with pytest.raises(SystemExit):
        cli.main([])
    assert capsys.readouterr().out.split() == ["plain,shrink", "plain,sweep"]
