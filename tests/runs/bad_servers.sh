# Symptom: a caller was shown rubbish, another request's answer, or half an answer as if it were whole.
# Sequence: one of two engines fails in each way it can, then both do.
# Cause: what a backend server sends was believed. Each answer is matched by id and sequence, tried
# again elsewhere while nothing was shown, resumed or continued when something was, and else refused.
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
# An engine that dies with its stream: the other goes on from the text already shown.
control "$ADDR_r1" '{"fault":"none","token_ms":50}'
control "$ADDR_r2" '{"fault":"none","token_ms":50}'
STREAM=true TOKENS=40 chat e1 "$KEY" m -H 'X-Request-Id: die' >"$DIR/die" &
CALLER=$!
wait_for "the stream has begun" grep -q 'die.5 ' "$DIR/die"
if runs r1 | grep -q '"die"'; then stop_now r1; else stop_now r2; fi
wait $CALLER
echo "an engine killed: $(grep -c 'die\.[0-9]' "$DIR/die") tokens, in order: $(grep -oE 'die\.[0-9]+' "$DIR/die" | sed 's/die.//' | sort -cn && echo yes), end: $(tail -n 2 "$DIR/die" | head -n 1)"
# Both are gone: the answer begun ends with an explicit error.
if runs r1 >/dev/null; then LAST=r1; else LAST=r2; fi
STREAM=true TOKENS=40 chat e1 "$KEY" m -H 'X-Request-Id: lost' >"$DIR/lost" &
CALLER=$!
wait_for "the stream has begun" grep -q 'lost.5 ' "$DIR/lost"
stop_now $LAST
wait $CALLER
echo "no engine left: $(grep -c '^event: error' "$DIR/lost") error event, DONE $(grep -c DONE "$DIR/lost")"
chat e1 "$KEY" m >"$DIR/none"
echo "refused at once: $(field code <"$DIR/none") $(field run <"$DIR/none")"
wait_for "bills" bills_are 73
echo "bills: $(bill_count)"
kill -TERM "$PID_e1"; wait "$PID_e1"; echo "exit $?"
