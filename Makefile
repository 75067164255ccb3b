PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo soak test check prove-guards generate bench-capacity bench-fleet bench-requests docs-check clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m tools.demo
	$(BIN)/python -m tools.cell_demo

soak: $(STAMP)
	$(BIN)/python -m tools.soak --seeds 50 --seed $(or $(SEED),1)

test: $(STAMP)
	$(BIN)/python -m pytest

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

generate:
	cd src && python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. streamthread/peers/peers.proto streamthread/cell/cell.proto

prove-guards: $(STAMP)
	$(BIN)/python -m tools.guards

bench-capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

bench-fleet: $(STAMP)
	$(BIN)/python -m bench.fleet

bench-fleet-plot: $(STAMP)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[plot]'
	$(BIN)/python -m bench.fleet --plot docs/buffer-against-moves.svg

bench-scheduler: $(STAMP)
	$(BIN)/python -m bench.scheduler

bench-requests: $(STAMP)
	$(BIN)/python -m bench.requests

docs-check: $(STAMP)
	$(BIN)/python -m pytest tests/test_docs.py

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache
