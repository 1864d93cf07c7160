# Two commands are all the set-up: make demo, make test.
PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: demo test lint check clean

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch .venv/ready

demo: .venv/ready
	$(BIN)/python demo/run.py

test: .venv/ready
	$(BIN)/python tools/run_tests.py

lint: .venv/ready
	$(BIN)/ruff format --check src tests tools demo
	$(BIN)/ruff check src tests tools demo
	$(BIN)/flake8 src tests tools demo
	$(BIN)/mypy

check: lint test

clean:
	rm -rf .venv build out
