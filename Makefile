# make setup (once, as root), make, make test, make demo, make lint, make run (CONFIG=file, OPERATOR=file)
CONFIG ?= deploy/config.json
OPERATOR ?=
DEMO ?= /tmp/cometshift-demo

.PHONY: setup build test demo lint run
# Installs what the build needs, if it is not there; uses sudo where that is needed.
setup:
	@. ./.ci/packages; dpkg -s $$packages >/dev/null 2>&1 || { sudo=; [ "$$(id -u)" = 0 ] || sudo=sudo; \
	  $$sudo apt-get update && $$sudo apt-get install -y --no-install-recommends $$packages; }
build: setup
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4
test: build
	ctest --test-dir build --output-on-failure
# One server with stand-ins for all others, ten seconds of load with troubles, recorded; then its replay.
demo: build
	rm -rf "$(DEMO)"
	build/cometshift_load --folder "$(DEMO)" --record --script load/demo.txt --seconds 10
	build/cometshift replay --times 100 "$(DEMO)"/recordings/*.capture
	build/cometshift capture info "$(DEMO)"/recordings/*.capture
	@op=$$(build/cometshift capture list "$(DEMO)"/recordings/*.capture | grep -e '-> nacked' | tail -1 | grep -o '[0-9a-f]\{16\}' | head -1); \
	  if [ -n "$$op" ]; then echo "why was $$op turned away?"; \
	    build/cometshift replay --explain "$$op" "$(DEMO)"/recordings/*.capture; fi
lint:
	clang-format --dry-run -Werror $$(git ls-files '*.cpp' '*.hpp')
run: build
	RELAY_CONFIG=$(CONFIG) COMETSHIFT_OPERATOR=$(OPERATOR) build/cometshift
