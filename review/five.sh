#!/bin/sh
# Runs case N five times with the disruption and twice without it: review/five.sh N
cd "$(dirname "$0")/$1" || exit 2
for i in 1 2 3 4 5; do ./run.sh; echo "run $i: exit $?"; done
for i in 1 2; do TROUBLE=0 ./run.sh; echo "without the disruption, run $i: exit $?"; done
