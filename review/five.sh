#!/bin/sh
# Runs case N five times with the disruption and five times without it, each with its time: review/five.sh N
cd "$(dirname "$0")/$1" || exit 2
for trouble in 1 0; do
  for i in 1 2 3 4 5; do
    rm -f record.txt
    began=$(date +%s)
    TROUBLE=$trouble ./run.sh
    code=$?
    echo "TROUBLE=$trouble run $i: exit $code after $(($(date +%s) - began)) s, record.txt of $(wc -l < record.txt) lines"
  done
done
