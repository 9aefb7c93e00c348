#!/usr/bin/env bash
# Bad clients stop in the middle of a request and stay; a usual client sends several commands at once on a further
# connection; see claim.txt.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec ../run-case "$PWD" several_commands "${TROUBLE:-1}"
