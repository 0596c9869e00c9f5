# Each target sets up its own virtual environment from the pinned requirements.
VENV ?= .venv
PYTHON ?= python3
STAMP := $(VENV)/.requirements

.PHONY: all bench demo test format lint check proofs reference known-red slopes fuzz

all: test

$(STAMP): requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --require-hashes -r requirements/dev.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

check: $(STAMP)
	$(VENV)/bin/python -m pytest

test: lint check

demo: $(STAMP)
	$(VENV)/bin/python -m tools.demo

proofs: $(STAMP)
	$(VENV)/bin/python -m tools.proofs

known-red: $(STAMP)
	$(VENV)/bin/python -m pytest --known-red

reference: $(STAMP)
	$(VENV)/bin/python -m tools.reference

bench: $(STAMP)
	$(VENV)/bin/python -m bench --plot build/bench.png

slopes: $(STAMP)
	$(VENV)/bin/python -m tools.slopes

SECONDS ?= 300
fuzz: $(STAMP)
	$(VENV)/bin/python -m tools.fuzz --seconds $(SECONDS)
