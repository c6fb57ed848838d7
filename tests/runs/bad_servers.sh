# Guards against a caller that gets invalid data, another request's answer, or a partial answer marked as
# complete, as happened when the answers of backend servers were trusted. One of two engines fails in each
# of its ways, then both do. Each answer must be matched by id and sequence; a failed attempt is retried on
# another engine while nothing was shown to the caller, else resumed or continued, and at last refused.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1 --token-ms 5
engine r2 d1 --versions m/1 --token-ms 5
publish "a,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1
instance e1 '"max_answer_bytes": 100000, "idle_chunk_ms": 500, "first_chunk_ms": 1500, "request_timeout_ms": 20000, "choice_policy": "round_robin",'
load() { "$BUILD/tests/loadgen" --to "$(addr_of e1)" --key "$KEY" --model m --requests 6 --concurrency 2 --tokens 10 "$@" | cut -d' ' -f 2-4; }
for fault in error rubbish busy foreign huge; do
	control "$ADDR_r1" "{\"fault\":\"$fault\",\"count\":2}"
	echo "$fault, streamed: $(load --stream --name "s-$fault")"
	control "$ADDR_r1" "{\"fault\":\"$fault\",\"count\":2}"
	echo "$fault, whole: $(load --name "w-$fault")"
	control "$ADDR_r1" '{"fault":"none"}'
done
control "$ADDR_r1" '{"fault":"cut","after":4,"count":2}'
echo "cut after 4 chunks: $(load --stream --name s-cut)"
control "$ADDR_r1" '{"fault":"freeze","after":3,"count":2}'
echo "frozen after 3 chunks: $(load --stream --name s-freeze)"
control "$ADDR_r1" '{"fault":"none"}'
# An engine is killed during a stream: the other one continues from the text already shown.
control "$ADDR_r1" '{"fault":"none","token_ms":50}'
control "$ADDR_r2" '{"fault":"none","token_ms":50}'
STREAM=true TOKENS=40 chat e1 "$KEY" m -H 'X-Request-Id: die' >"$DIR/die" &
CALLER=$!
wait_for "the stream has begun" grep -q 'die.5 ' "$DIR/die"
if runs r1 | grep -q '"die"'; then stop_now r1; else stop_now r2; fi
wait $CALLER
echo "an engine killed: $(grep -c 'die\.[0-9]' "$DIR/die") tokens, in order: $(grep -oE 'die\.[0-9]+' "$DIR/die" | sed 's/die.//' | sort -cn && echo yes), end: $(tail -n 2 "$DIR/die" | head -n 1)"
# Both engines are killed: the stream that has begun ends with an explicit error event.
if runs r1 >/dev/null; then LAST=r1; else LAST=r2; fi
STREAM=true TOKENS=40 chat e1 "$KEY" m -H 'X-Request-Id: lost' >"$DIR/lost" &
CALLER=$!
wait_for "the stream has begun" grep -q 'lost.5 ' "$DIR/lost"
stop_now $LAST
wait $CALLER
echo "no engine left: $(grep -c '^event: error' "$DIR/lost") error event, DONE $(grep -c DONE "$DIR/lost")"
chat e1 "$KEY" m >"$DIR/none"
echo "refused at once: $(json_field code <"$DIR/none") $(json_field run <"$DIR/none")"
wait_for "bills" has_bills 73
echo "bills: $(bill_count)"
kill -TERM "$PID_e1"; wait "$PID_e1"; echo "exit $?"
