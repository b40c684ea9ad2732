#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Needs the JDK alone; run after the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:-options -d target/review review/standins/*.java
