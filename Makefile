VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: install demo platform-demo test format capacity chaos soak platform-soak

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

install: $(VENV)/.installed

demo: install
	$(BIN)/python -m bench.demo

# Runs the demo on stand-ins for the users' platform.
platform-demo: install
	$(BIN)/python -m bench.platform_demo

test: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m pytest

# SEED and SECONDS set the run; a failure prints the command that reproduces it.
SEED ?= 1
SECONDS ?= 30
chaos: install
	$(BIN)/python -m bench.chaos --seed=$(SEED) --seconds=$(SECONDS)

# Runs a state machine test of budgets with one random seed after another:
# MACHINE=budget for the own interface, MACHINE=grants for the platform, and
# MACHINE=restores for a store that comes back from older copies.
MINUTES ?= 10
MACHINE ?= budget
soak: install
	$(BIN)/python -m bench.soak --seed=$(SEED) --minutes=$(MINUTES) --machine=$(MACHINE)

# Runs random faults on real routers and stand-ins of the users' platform.
platform-soak: install
	$(BIN)/python -m bench.platform_soak --seed=$(SEED) --seconds=$(SECONDS)

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

capacity: install
	$(BIN)/python -m bench.capacity
