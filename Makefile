# build: jar and class-data archive; test: all tests; format: lays the Java files out;
# lint: layout, Checkstyle's list, the compiler's warnings as errors, and names in the pages that are gone;
# run: one gateway, as RELAY_CONFIG says; without it, one to try by hand before stand-in nodes.
.PHONY: build test format lint run
build:
	sh deploy/build
test:
	sh deploy/test
format:
	mvn -q -B spotless:apply
lint:
	mvn -q -B spotless:check checkstyle:check test-compile
	sh deploy/check-docs
run: build
	@if [ -n "$$RELAY_CONFIG" ]; then $$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml); \
	else exec bin/petrelstand lab serve; fi
