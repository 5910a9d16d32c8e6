#!/bin/sh
# balancer_replay accepts a recording whose actions match, reports the first action that differs, and reports
# malformed files with file name and line.
set -u
balancer_replay=$1
fail() { echo "$1"; exit 1; }
settings='{"balancers":2,"zone":0,"discovery":"automatic","classes":[{"effect":"idempotent","target":800000}],
 "stats":{"how":"on_probe","fields":["x0"]},"limits":{"probes":true,"sendCap":3}}'
settings=$(printf '%s' "$settings" | tr -d '\n')
cat > events.txt <<EOF
>> process 0, 1 bytes
{"atTime":5,"input":[["Attach",3,9,$settings],["Members",3,2,1,[[7,0,0,0,1,1,null],[8,0,0,0,1,1,null]]]]}
>> process 0, 1 bytes
{"atTime":9,"input":[["Incoming",3,11,0,null,null,2000000,null,null,false,false,false]]}
>> process 0, 1 bytes
{"atTime":900,"input":[["ProbeDone",3,7,1500,"pass",[0.4]],["ProbeDone",3,8,1500,"pass",[0.1]]]}
EOF
"$balancer_replay" --write events.txt > recorded.txt || fail "recording failed"
grep -q '"Send",3,11,8' recorded.txt || fail "no decision in the recording: $(cat recorded.txt)"
"$balancer_replay" recorded.txt || fail "matching actions must exit 0"
sed 's/"Send",3,11,8/"Send",3,11,7/' recorded.txt > differing.txt
out=$("$balancer_replay" differing.txt); [ $? = 3 ] || fail "a differing action must exit 3"
echo "$out" | grep -q 'differing.txt:6: batch 3 differs' || fail "the message must name the line: $out"
sed '$d' recorded.txt | sed '2d' > truncated.txt
"$balancer_replay" truncated.txt 2>err.txt; [ $? = 2 ] || fail "a batch without its reply must exit 2"
grep -q 'truncated.txt:2: a batch of events before the reply' err.txt || fail "message: $(cat err.txt)"
sed '$d' recorded.txt > truncated.txt
"$balancer_replay" truncated.txt 2>err.txt; [ $? = 2 ] || fail "a truncated recording must exit 2"
grep -q 'the file ends before the reply' err.txt || fail "message: $(cat err.txt)"
"$balancer_replay" events.none 2>err.txt; [ $? = 2 ] || fail "a missing file must exit 2"
echo "{\"atTime\":5}" > bad.txt
"$balancer_replay" bad.txt 2>err.txt; [ $? = 2 ] || fail "a malformed batch must exit 2"
grep -q 'bad.txt:1: input: missing' err.txt || fail "message: $(cat err.txt)"
