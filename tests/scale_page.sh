#!/bin/sh
# Figures of a page from kept rows: written, checked, and what is said where a row or a word is missing.
# Usage: scale_page.sh PROGRAM
set -u
program=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cat > "$folder/link.jsonl" <<'ROWS'
{"row":"link","build":"b","cores":8,"seed":1,"set":{"members":100,"role":"voter"},"got":{"cpu_part":0.0021,"sent_bytes_s":6010,"settle_s":0.25}}
{"row":"link","build":"b","cores":8,"seed":2,"set":{"members":100,"role":"voter"},"got":{"cpu_part":0.0025,"sent_bytes_s":6030,"settle_s":75}}
{"row":"link","build":"b","cores":8,"seed":3,"set":{"members":100,"role":"voter"},"got":{"cpu_part":0.0022,"sent_bytes_s":6020,"settle_s":0.4,"verdict":"cut short"}}
{"row":"slope","build":"b","cores":8,"seed":1,"set":{"role":"voter"},"got":{"cpu_part.exponent":2,"cpu_part.low":1.9,"cpu_part.high":2.1,"cpu_part.factor":2e-7,"cpu_part.smallest":100,"cpu_part.largest":3000,"cpu_part.sizes":4,"cpu_part.runs":12,"flat.exponent":0,"flat.low":-0.1,"flat.high":0.1,"flat.factor":5,"flat.largest":3000}}
ROWS
page() { printf 'Before.\n<!-- figures\n%s\n-->\nold\n<!-- end of figures -->\nAfter.\n' "$1" > "$folder/page.md"; }
run() { "$program" page --page "$folder/page.md" --results "$folder" "$@" 2>&1 | sed "s,$folder/,,"; }
try() { page "$1"; run; sed -n '/^-->/,/^<!-- end/p' "$folder/page.md" | sed '1d;$d'; }

echo "== figures, medians over repeats"
try '{link.jsonl link role=voter,members=100 cpu_part part}, {link.jsonl link members=100 sent_bytes_s bytes}, {link.jsonl link - settle_s s}'
try '{link.jsonl link members=100 cpu_part us}, {link.jsonl link members=100 sent_bytes_s ms}'
echo "== slopes: at a size, where a limit is passed, the exponent"
try '{link.jsonl slope role=voter cpu_part@1000 part}; {link.jsonl slope role=voter cpu_part@6600 part}'
try '{link.jsonl slope role=voter cpu_part>0.023 count}; {link.jsonl slope role=voter cpu_part>10 count}; {link.jsonl slope role=voter flat>10 count}; {link.jsonl slope role=voter cpu_part^ x}'
echo "== a page as the results have it, and one that is not"
page '{link.jsonl link members=100 cpu_part part}'
"$program" page --page "$folder/page.md" --results "$folder" --check >/dev/null 2>&1; echo "exit $?"
run --check
run
"$program" page --page "$folder/page.md" --results "$folder" --check; echo "exit $?"
echo "== what can't be had"
for words in 'link.jsonl link members=200 cpu_part part' 'link.jsonl link members=100 mass part' 'link.jsonl link members=100 cpu_part furlong' \
  'none.jsonl link - cpu_part part' 'link.jsonl link cpu_part part' 'link.jsonl slope - cpu_part@many part'; do page "{$words}"; run; done
page 'x {link.jsonl link'; run
printf 'a\n<!-- figures\nx\n' > "$folder/page.md"; run
