VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: install demo test format

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

install: $(VENV)/.installed

demo: install
	$(BIN)/python -m bench.demo

test: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
