# VENV may name a virtual environment that exists already.
VENV ?= .venv
PYTHON ?= python3
PY = $(VENV)/bin/python
SEED ?= 1

.PHONY: setup format lint types unit test demo soak fuzz bench capacity clean golden

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
	$(PY) -m verbenadeck.testing.tests.golden_scenarios

test: lint types unit

demo: setup
	$(PY) -m verbenadeck.demo --out build/demo.json

# Random disorder of real processes; SEED chooses it.
soak: setup
	$(PY) -m verbenadeck.demo --site fiji --seed $(SEED) --soak_s 40 \
		--out build/soak-$(SEED)/report.json

# Longer random runs; SEED chooses them.
fuzz: setup
	VERBENADECK_FUZZ_EXAMPLES=300 SEED=$(SEED) $(PY) -m pytest \
		--timeout 3600 verbenadeck/lease/tests/test_fuzz.py \
		verbenadeck/lease/tests/test_large_fleets.py

BENCHES = peers route logs placement records relay start control

# All measurements, one after the other, into build/bench.
bench: setup
	mkdir -p build/bench
	$(PY) -m benchmarks.bench_path --out build/bench/path.json
	for name in $(BENCHES); do \
		echo $$name; \
		$(PY) -W ignore -m benchmarks.bench_$$name \
			> build/bench/$$name.json 2> build/bench/$$name.err || exit 1; \
	done
	$(PY) -W ignore -m benchmarks.bench_policy --seed $(SEED) \
		--plot build/bench/zone.png | tee build/bench/policy.txt
	$(MAKE) capacity

capacity: setup
	$(PY) -m benchmarks.capacity

clean:
	rm -rf build .venv
