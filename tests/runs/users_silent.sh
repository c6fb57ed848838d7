# A server stops for a second and goes on. Symptom this prevents: it counts as unreachable, and what runs there is broken
# off and run again elsewhere.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner e1 llm v1 --confidence 90 --gap 100
runner a1 app v1 --work-ms 200
entry n1
wait_for "ready" ready n1
stream n1 30 s1 >"$DIR/s1" &
STREAM=$!
ask n1 POST /order/1 o1 -d x >"$DIR/o1" &
ORDER=$!
both_run() { runs e1 | grep -q '^s1 ' && runs a1 | grep -q '^o1 '; }
wait_for "both run" both_run
kill -STOP "$(pid_of e1)" "$(pid_of a1)"
sleep 1.2
kill -CONT "$(pid_of e1)" "$(pid_of a1)"
wait $STREAM $ORDER
cat "$DIR/s1"
head -n 1 "$DIR/o1"
echo "runs: $(runs e1 | grep -c '^s1 ') $(runs a1 | grep -c '^o1 ')"
is_logged() { grep -q 'event=ended request=s1 ' "$DIR/n1.log"; }
wait_for "the stream's end is logged" is_logged
echo "unreachable: $(grep -c 'event=server_unreachable' "$DIR/n1.log"), failed attempts: $(grep -c 'event=attempt_failed' "$DIR/n1.log")"
