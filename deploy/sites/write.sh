#!/bin/sh
# Writes a variant of a deployment: the site file and its words, as they stand in the kit, with the changes that a table
# names. Usage: write.sh KIT TABLE FOLDER. A change that finds nothing to change is an error, and nothing is written.
set -eu
kit=$1 table=$2 folder=$3
base=$kit/$(sed -n 's/^base = //p' "$table")
made=$(mktemp)
trap 'rm -f "$made"' EXIT
awk '
  function trim(s) { gsub(/^[ \t]+|[ \t]+$/, "", s); return s }
  function missing(  k) { for (k in change) if (!(k in used)) { print "write.sh: nothing under " k > "/dev/stderr"; return 1 } return 0 }
  FNR == NR {
    at = index($0, " = ")
    if ($0 ~ /^#/ || at == 0 || $1 == "base") next
    change[trim(substr($0, 1, at - 1))] = substr($0, at + 3)
    next
  }
  /^\[/ { # the path of what follows: a table, or the next of a list of them
    section = $0
    gsub(/[][ ]/, "", section)
    if ($0 ~ /^\[\[/) section = section "." (count[section]++)
    dropped = change[section] == "none"
    if (section in change) used[section]
    if (!dropped) print
    next
  }
  dropped { next }
  {
    at = index($0, " = ")
    key = (section == "" ? "" : section ".") trim(substr($0, 1, at - 1))
    if (at > 0 && key in change) { used[key]; print trim(substr($0, 1, at - 1)) " = " change[key]; next }
    print
  }
  END { exit missing() }
' "$table" "$base" > "$made"
mkdir -p "$folder"
cp "$made" "$folder/$(basename "$folder").toml"
for words in real.json wire.json unlock.txt; do
  cp "$(dirname "$base")/$words" "$folder/$words"
  chmod u+w "$folder/$words"
done
