# build: jar and class-data archive; test: all tests; format: lays the Java files out;
# lint: layout, Checkstyle's list, and the compiler's warnings as errors;
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
run: build
	@if [ -n "$$RELAY_CONFIG" ]; then $$(sed -n 's/^run = "\(.*\)"$$/\1/p' deploy/balancer.toml); \
	else exec bin/petrelstand lab serve; fi
