#!/usr/bin/env bash
# Plays the case; claim.txt says what it shows.
folder=$(dirname "$0")
exec "$folder/../play" reserved "$folder"
