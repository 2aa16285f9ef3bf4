# make, make test, make lint, make run (CONFIG=file)
CONFIG ?= deploy/config.json

.PHONY: build test lint run
build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4
test: build
	ctest --test-dir build --output-on-failure
lint:
	clang-format --dry-run -Werror src/*.?pp node/*.?pp server/*.cpp simhost/*.cpp tests/*.?pp
run: build
	RELAY_CONFIG=$(CONFIG) build/cometshift
