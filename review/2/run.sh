#!/usr/bin/env bash
# Plays the case; claim.txt says what it shows. Writes record.txt beside this
# file. Exit status 0: the rule held, 1: it was broken, 2: it could not run.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../play" many-times "$folder/record.txt"
