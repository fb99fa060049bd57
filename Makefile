VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
LOCKS := requirements/run.txt requirements/dev.txt
export PYTHONPATH := src

.PHONY: setup demo test lint format lock

setup: $(VENV)/.ready

$(VENV)/.ready: $(LOCKS)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes $(LOCKS:%=-r %)
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/python -m currantspur demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/flake8 src tests
	$(BIN)/mypy src

format: setup
	$(BIN)/ruff format -q src tests
	$(BIN)/ruff check --fix -q src tests
	$(BIN)/ruff format -q src tests

lock:
	pip-compile -q --generate-hashes --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --no-emit-options --allow-unsafe --strip-extras -o requirements/run.txt requirements/run.in
	pip-compile -q --generate-hashes --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --no-emit-options --allow-unsafe --strip-extras -o requirements/dev.txt requirements/dev.in
