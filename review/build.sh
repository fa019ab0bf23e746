#!/bin/sh
# Builds the stand-ins that the cases start, into review/build.
set -eu
cd "$(dirname "$0")"
rm -rf build
mkdir build
javac --release 17 -Xlint:all -d build standins/standins/*.java
