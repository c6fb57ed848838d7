# Guards against a planned stop that breaks streams, and against a leaving instance that still accepts work: the
# process exited with work in progress, or no peer learned that the instance was leaving. All instances are
# replaced one by one under load; one is stopped during an outage of the platform; one is stopped with a
# stream that lasts longer than the grace period.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1 --slots 64 --token-ms 2
engine r2 d2 --versions m/1 --slots 64 --token-ms 2
publish "a,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2 e3:d3 e4:d4
instance e1; instance e2; instance e3; instance e4
"$BUILD/tests/loadgen" --to "$ADDR_e1,$ADDR_e2,$ADDR_e3,$ADDR_e4" --key "$KEY" --model m --stream --tokens 40 --requests 100000 --seconds 14 --concurrency 12 --retries 20 >"$DIR/load" 2>"$DIR/load.err" &
LOAD=$!
codes=""
for i in e1 e2 e3 e4; do
	kill -TERM "$(pid_of $i)"
	wait "$(pid_of $i)"; codes="$codes $?"
	instance $i
done
wait $LOAD
echo "all replaced one by one: exit codes$codes"
echo "under load: $(cut -d' ' -f 3-6 "$DIR/load")"
cat "$DIR/load.err"
ANSWERS=$(sum_of() { tr ' ' '\n' <"$DIR/load" | sed -n "s/^$1=//p"; }; sum_of whole)
wait_for "as many bills as answers" has_bills "$ANSWERS"
echo "as many bills as answers: yes"
# A leaving instance is not ready at once, announces its state to its peers, refuses requests after the grace
# period, and completes its streams.
control "$ADDR_r1" '{"token_ms":40}'; control "$ADDR_r2" '{"token_ms":40}'
STREAM=true TOKENS=120 chat e1 "$KEY" m -H 'X-Request-Id: long' >"$DIR/long" &
CALLER=$!
wait_for "the stream has begun" grep -q 'long.2 ' "$DIR/long"
kill -TERM "$PID_e1"
is_not_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$OPERATOR_e1/ready")" = 503 ]; }
wait_for "not ready" is_not_ready
peer_has_leaving() { curl -s "http://$OPERATOR_e2/status" | grep -q '"instance":"e1","failure_domain":"d1","state":"leaving"'; }
wait_for "e2 knows that e1 is leaving" peer_has_leaving
is_refusing() { [ "$(chat e1 "$KEY" m | json_field code)" = leaving ]; }
WAIT_S=4 wait_for "e1 refuses requests" is_refusing
chat e1 "$KEY" m >"$DIR/refused"
echo "after the grace period: $(json_field code <"$DIR/refused") $(json_field run <"$DIR/refused"), stream still open: $(kill -0 $CALLER && echo yes)"
wait $CALLER
wait "$PID_e1"; echo "the long stream: $(grep -c 'long\.' "$DIR/long") tokens, $(grep -c DONE "$DIR/long") end marker, exit $?"
# During an outage of the platform peers hold the bills, so the instance may exit.
INSTANCES="e2 e3 e4"
has_no_bills_held() { local i; for i in $INSTANCES; do [ "$(curl -s "http://$(operator_of $i)/status" | json_field bills_held)" -eq 0 ] || return 1; done; }
wait_for "all bills are in the log" has_no_bills_held
BEFORE=$(bill_count)
control "$PLATFORM" '{"outage":1}'
chat e2 "$KEY" m -o /dev/null; chat e2 "$KEY" m -o /dev/null
kill -TERM "$PID_e2"; wait "$PID_e2"; echo "stopped during an outage: exit $?"
control "$PLATFORM" '{"outage":0}'
wait_for "its bills" has_bills $((BEFORE + 2))
echo "its bills are in the log: yes"
