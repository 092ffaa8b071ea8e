#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 under target/review-2/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
. bin/jdk.sh
rm -rf target/review-2
mkdir -p target/review-2/classes
"$JAVA_HOME/bin/javac" -Xlint:all -d target/review-2/classes review/standin-2/io/review/*.java
