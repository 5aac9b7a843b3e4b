VENV ?= .venv
PYTHON := $(VENV)/bin/python
SECONDS ?= 60
COUNT ?= 20
FAMILY ?= configuration
SEED ?= -1
PROCESSES ?= 6
export PYTHONHASHSEED := 0
STAMP := $(VENV)/.installed

.PHONY: test demo fuzz orders soak bench format environment

environment: $(STAMP)

$(STAMP): requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements.lock
	$(PYTHON) -m pip install --quiet --no-build-isolation --no-deps -e .
	touch $(STAMP)

test: environment
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(PYTHON) -m pytest -m 'not serial' -n $(PROCESSES) --dist loadfile
	$(PYTHON) -m pytest -m serial
	@cat KNOWN-RED.txt

demo: environment
	$(PYTHON) -m standins.demo

fuzz: environment
	PYTHONHASHSEED=random $(PYTHON) -m tests.fuzz --seconds $(SECONDS)

orders: environment
	$(PYTHON) -m tests.orders --count $(COUNT) --seed $(SEED) --family $(FAMILY)

soak: environment
	$(PYTHON) -m soak --seconds $(SECONDS) --seed $(SEED)

bench: environment
	$(PYTHON) -m bench.policy

format: environment
	$(PYTHON) -m ruff format .
	$(PYTHON) -m ruff check --fix .
