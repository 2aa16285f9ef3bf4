#!/bin/sh
# Starts the stand-ins of case $1 with the deploy file's `run` command, from the repository's root. The case
# starts the server itself, writes review/$1/record.txt and ends every process that it started.
program=build/review-2/case$1
[ -x "$program" ] && [ -x build/cometshift ] || { echo "not built: the deploy file's build, then review/build-2.sh"; exit 2; }
run=$(sed -n 's/^run = "\(.*\)".*$/\1/p' deploy/balancer.toml)
[ -n "$run" ] || { echo "no run command in the deploy file"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" "$run" "$folder" "review/$1/record.txt" "${TROUBLE:-1}"
code=$?
[ -z "${KEEP_LOG:-}" ] || cp "$folder/server.log" "$KEEP_LOG"
exit $code
