# VENV may name a virtual environment that exists already.
VENV ?= .venv
PYTHON ?= python3
PY = $(VENV)/bin/python
SEED ?= 1

.PHONY: setup format lint types unit test demo fuzz bench clean golden

setup: $(VENV)/.verbenadeck-$(shell cksum < requirements/lock.txt | cut -d' ' -f1)

$(VENV)/.verbenadeck-%: requirements/lock.txt
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -r requirements/lock.txt
	touch $@

format: setup
	$(PY) -m ruff format verbenadeck benchmarks examples conftest.py
	$(PY) -m ruff check --fix -q verbenadeck benchmarks examples conftest.py

lint: setup
	$(PY) -m ruff format --check -q verbenadeck benchmarks examples conftest.py
	$(PY) -m ruff check -q verbenadeck benchmarks examples conftest.py
	$(PY) -m flake8 -j 4 verbenadeck benchmarks examples conftest.py

types: setup
	$(PY) -m mypy verbenadeck benchmarks

unit: setup
	$(PY) -m pytest -n 6

golden: setup
	$(PY) -m verbenadeck.testing.tests.sessions

test: lint types unit

demo: setup
	$(PY) -m verbenadeck.demo --out build/demo.json

clean:
	rm -rf build .venv
