# Shortcuts for common tasks; the build itself is defined in CMakeLists.txt.
BUILD ?= build

.PHONY: all packages build check demo format lint clean

all: build

packages:
	@tools/install-packages.sh

build: packages
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@ninja -C $(BUILD)

format:
	@tools/format.sh --fix

lint: build
	@tools/lint.sh $(BUILD)

# Installs the packages, builds, checks format and lint, and runs all tests.
check: build
	@tools/format.sh
	@tools/lint.sh $(BUILD)
	@tests/run.sh $(BUILD)

# Runs a small cluster with requests and jobs, and stops it gracefully.
demo: build
	@tools/demo.sh $(BUILD)

clean:
	@rm -rf $(BUILD)
