#!/bin/sh
# Builds the stand-ins and the cases of the second review into target/review-2, with the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all,-try -Werror -d target/review-2 review/standins-2/*.java $(ls review/[6-9]/*.java review/10/*.java 2>/dev/null)
