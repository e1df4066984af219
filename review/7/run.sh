#!/bin/sh
# Exit status 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 115 target/review-2/cuminfold-review-2 cuts target/bin/cuminfold-node \
  "$folder" > review/7/record.txt 2>&1
result=$?
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
