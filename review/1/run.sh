#!/usr/bin/env bash
# Some good answers of the nodes carry a second copy directly behind them; see claim.txt.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec ../run-case "$PWD" second_copy "${TROUBLE:-1}"
