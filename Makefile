# `make demo` shows the proxy at work; `make test` does what CI does.
PYTHON ?= python3
VENV ?= .venv-lab
LISTS = requirements.txt requirements-fleet.txt requirements-lab.txt requirements-dev.txt

.PHONY: demo test env

env: $(VENV)/.ready

$(VENV)/.ready: $(LISTS)
	rm -rf $(VENV)
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install $(LISTS:%=-r %)
	touch $@

demo: env
	$(VENV)/bin/python -O -m mothstall lab demo

test: env
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports --no-logo
	$(VENV)/bin/python -m pytest -n 8 -m "not processes"
	$(VENV)/bin/python -m pytest -m processes
