# Symptom: a planned stop cut streams, or a leaving instance went on taking work.
# Sequence: all instances are replaced one by one under load; one is stopped while the platform is
# out; one is stopped with a stream that is longer than its grace.
# Cause: the process ended with its work undone, or its leaving reached nobody.
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
WHOLE=$(field_of() { tr ' ' '\n' <"$DIR/load" | sed -n "s/^$1=//p"; }; field_of whole)
wait_for "as many bills as answers" bills_are "$WHOLE"
echo "as many bills as answers: yes"
# Leaving: not ready at once, refused after the grace, told to its peers, the stream goes on.
control "$ADDR_r1" '{"token_ms":40}'; control "$ADDR_r2" '{"token_ms":40}'
STREAM=true TOKENS=120 chat e1 "$KEY" m -H 'X-Request-Id: long' >"$DIR/long" &
CALLER=$!
wait_for "the stream has begun" grep -q 'long.2 ' "$DIR/long"
kill -TERM "$PID_e1"
not_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$OPERATOR_e1/ready")" = 503 ]; }
wait_for "not ready" not_ready
peers_know() { curl -s "http://$OPERATOR_e2/status" | grep -q '"instance":"e1","failure_domain":"d1","state":"leaving"'; }
wait_for "its peers know" peers_know
refuses() { [ "$(chat e1 "$KEY" m | field code)" = leaving ]; }
WAIT_S=4 wait_for "it refuses" refuses
chat e1 "$KEY" m >"$DIR/refused"
echo "after the grace: $(field code <"$DIR/refused") $(field run <"$DIR/refused"), stream still open: $(kill -0 $CALLER && echo yes)"
wait $CALLER
wait "$PID_e1"; echo "the long stream: $(grep -c 'long\.' "$DIR/long") tokens, $(grep -c DONE "$DIR/long") end, exit $?"
# With the platform out the bills are held by peers; the instance may go.
INSTANCES="e2 e3 e4"
nothing_held() { local i; for i in $INSTANCES; do [ "$(curl -s "http://$(operator_of $i)/status" | field bills_held)" -eq 0 ] || return 1; done; }
wait_for "no bill is on its way" nothing_held
BEFORE=$(bill_count)
control "$PLATFORM" '{"outage":1}'
chat e2 "$KEY" m -o /dev/null; chat e2 "$KEY" m -o /dev/null
kill -TERM "$PID_e2"; wait "$PID_e2"; echo "stopped during an outage: exit $?"
control "$PLATFORM" '{"outage":0}'
wait_for "its bills" bills_are $((BEFORE + 2))
echo "its bills stand: yes"
