#!/bin/sh
# Compiles the stand-ins of the review's scripts into review/target/.
set -eu
cd "$(dirname "$0")/.."
. bin/jdk.sh
rm -rf review/target/classes
mkdir -p review/target/classes
"$JAVA_HOME/bin/javac" -nowarn -d review/target/classes review/standin/*.java
