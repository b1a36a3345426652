"""The command line: usage errors exit with 2 and a reason; groups work without each other's libraries."""

from __future__ import annotations

import pytest

from mallowlug.cli import main as cli
from tests.world import ROOT

SWARM_SCENARIO = str(ROOT / "scenarios" / "swarm.toml")


@pytest.mark.parametrize(
    ("words", "message"),
    [
        (["nonsense"], "No such command 'nonsense'"),
        (["check"], "Missing argument 'FILE'"),
        (["run", "--operator"], "requires an argument"),
        (["rig", "run", SWARM_SCENARIO, "--relays", "0"], "0 is not in the range"),
        (["sim", "sweep", SWARM_SCENARIO, "--seeds", "9-3"], "no seed in '9-3'"),
        (["sim", "sweep", SWARM_SCENARIO, "--seeds", "a"], "not A-B: 'a'"),
        (["sim", "hours", SWARM_SCENARIO, "--hours", "1"], "no room for a quiet period"),
    ],
)
def test_unusable_command_line_exits_with_2(
    words: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(words) == 2
    assert message in capsys.readouterr().err


def test_group_without_its_libraries_names_the_package(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setitem(cli.LAZY_GROUPS, "rig", "no_such_library.cli")
    assert cli.main(["rig", "run", "x.toml", "--live"]) == 2
    assert capsys.readouterr().err == "mallowlug rig needs no_such_library: pip install 'mallowlug[rig]'\n"
    assert cli.main(["--help"]) == 0
    shown = capsys.readouterr().out
    assert "needs no_such_library" in shown
    assert "simulated time" in shown


def test_completion_covers_lazy_groups(
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
