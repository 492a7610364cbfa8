#!/usr/bin/env bash
# Runs the script of a case N times (5), then once with TROUBLE=0.
cd "$(dirname "$0")/$1" || exit 2
for n in $(seq "${2:-5}"); do
    bash run.sh >"/tmp/review-$1-$n.out" 2>&1
    echo "case $1 run $n: exit $? ($(tail -n 1 "/tmp/review-$1-$n.out"))"
done
cp record.txt failed-record.txt
TROUBLE=0 bash run.sh >"/tmp/review-$1-0.out" 2>&1
echo "case $1 TROUBLE=0: exit $? ($(tail -n 1 "/tmp/review-$1-0.out"))"
