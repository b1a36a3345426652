# Each of these does all of its own set-up on a machine that has only Python 3.11 and make.
VENV := .ci-venv
PY := $(VENV)/bin/python
CODE := mallowlug mossfront bench tests

.PHONY: demo test

demo: $(VENV)/ready  ## a relay in a world of stand-ins for a minute, live, with an outage and a kill -9
	$(PY) -m mallowlug rig run scenarios/demo.toml --live

test: $(VENV)/ready  ## lint, layers, types, tests: what CI runs
	$(VENV)/bin/ruff format --check $(CODE)
	$(VENV)/bin/ruff check $(CODE)
	$(VENV)/bin/lint-imports
	$(VENV)/bin/mypy --strict $(CODE)
	$(PY) -m pytest -q -n 4 --dist loadfile -p tests.known_red --known-red KNOWN-RED.txt

$(VENV)/ready: requirements.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements-dev.txt
	touch $@
