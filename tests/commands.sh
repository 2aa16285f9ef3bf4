#!/bin/sh
# Checks the output and exit codes of the command line. Usage: commands.sh PROGRAM FOLDER-OF-RECORDINGS
program=$1
overload=$2/overload.capture
run() {
  echo "\$ cometshift $*" | sed "s|$folder|.|g"
  "$program" "$@" 2>&1 | grep -v 'times as fast' | sed "s|$folder|.|g" >said.out
  # the exit code of the program, not of the filters
  "$program" "$@" >/dev/null 2>&1
  code=$?
  head -"$lines" said.out
  echo "exit $code"
}
folder=$2
lines=12
printf 'recording {\n    segment-age 5\n}\n' >wrong.kdl
run check --operator wrong.kdl
run check --operator nowhere.kdl
run replay nowhere.capture
run replay wrong.kdl
run replay "$overload"
run frobnicate 2>/dev/null
run replay --explain 12 "$overload"
run replay --explain 00000000000000ff "$overload"
run capture info "$overload"
# Explains one op of each outcome, taken from the list.
"$program" capture list "$overload" >list.out
for end in served 'why line' 'why due' 'why hopeless'; do
  op=$(grep -e "-> .*$end" list.out | sed -n 3p | grep -o '[0-9a-f]\{16\}' | head -1)
  [ -n "$op" ] && run replay --explain "$op" "$overload"
done
rm -f cut.capture again.capture
op=$(grep -e '-> nacked' list.out | sed -n 9p | grep -o '[0-9a-f]\{16\}' | head -1)
lines=3
run capture cut --op "$op" --into cut.capture "$overload" >/dev/null
"$program" replay cut.capture | sed 's/ in .* times as fast//'
rm -f scrubbed.capture
"$program" capture scrub --into scrubbed.capture cut.capture
"$program" replay scrubbed.capture | tail -1
"$program" replay --explain "$op" scrubbed.capture | head -3 | sed "s|mark [0-9a-f]*|mark concealed|"
run capture cut --op "$op" --into cut.capture "$overload" # the output file exists already
rm -f cut.capture
"$program" capture cut --from 1000 --to 1500 --into cut.capture "$overload" | sed 's/ to .*//'
"$program" replay cut.capture | sed 's/ in .* times as fast//'
lines=6
run replay --compare "$overload"
rm -f wrong.kdl cut.capture scrubbed.capture list.out said.out
