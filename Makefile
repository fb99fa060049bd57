VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
LOCKS := requirements/run.txt requirements/plots.txt requirements/dev.txt
export PYTHONPATH := src

.PHONY: setup demo test lint format bench faults lock proto

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
	$(BIN)/ruff format --check src tests bench
	$(BIN)/ruff check src tests bench
	$(BIN)/flake8 src tests bench
	$(BIN)/mypy src

format: setup
	$(BIN)/ruff format -q src tests bench
	$(BIN)/ruff check --fix -q src tests bench
	$(BIN)/ruff format -q src tests bench

bench: setup
	$(BIN)/python -m bench

faults: setup
	$(BIN)/python -m bench.faults

lock:
	pip-compile -q --generate-hashes --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --no-emit-options --allow-unsafe --strip-extras -o requirements/run.txt requirements/run.in
	pip-compile -q --generate-hashes --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --no-emit-options --allow-unsafe --strip-extras -o requirements/plots.txt requirements/plots.in
	pip-compile -q --generate-hashes --no-emit-index-url --no-emit-find-links --no-emit-trusted-host --no-emit-options --allow-unsafe --strip-extras -o requirements/dev.txt requirements/dev.in

proto: setup
	$(BIN)/python -m grpc_tools.protoc -Iproto --python_out=src/currantspur/wire/generated --pyi_out=src/currantspur/wire/generated --grpc_python_out=src/currantspur/wire/generated proto/peer.proto
	sed -i 's/^import peer_pb2/from currantspur.wire.generated import peer_pb2/' src/currantspur/wire/generated/peer_pb2_grpc.py
