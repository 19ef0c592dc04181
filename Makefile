VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: install demo test format soak

SEED ?= 1
MINUTES ?= 10

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

soak: install
	$(BIN)/python -m bench.soak --seed=$(SEED) --minutes=$(MINUTES)

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
