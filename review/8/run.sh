#!/bin/sh
# Exits with 1 if machines in touch sent requests to a leaving engine too late, 0 if not, 2 if the case could not run.
# TROUBLE=0 leaves the disruptions out.
set -eu
cd "$(dirname "$0")/../.."
. bin/jdk.sh
exec timeout -k 5 118 "$JAVA_HOME/bin/java" -Xmx700m -cp target/review-2/classes io.review.RelayCut review/8
