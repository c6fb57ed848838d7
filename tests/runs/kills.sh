# Symptom: after an instance was killed a caller saw half an answer as whole, an order ran twice, or
# a bill stood for an answer nobody got.
# Sequence: SIGKILL in the middle of a stream, while a claim is on its way, and of two instances at
# once with the platform out; the callers try again elsewhere.
# Cause: what one memory knew was gone.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1 --slots 64 --token-ms 20
service o1 d1 orders
publish "a,m,1,100,,,,1,,allowed" "a,service:orders,,,,,,,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2 e3:d3 e4:d4
proxy p1 "$PLATFORM"
PLATFORM_e1=$ADDR_p1
FAST='"silent_ms": 500, "heartbeat_ms": 100,'
instance e1 "$FAST"; instance e2 "$FAST"; instance e3 "$FAST"; instance e4 "$FAST"
live() { [ "$(curl -s "http://$(operator_of "$1")/status" | grep -o '"state":"live"' | wc -l)" -eq "$2" ]; }
for i in e1 e2 e3 e4; do wait_for "$i sees its peers" live $i 3; done
STREAM=true TOKENS=50 chat e2 "$KEY" m -H 'X-Request-Id: cut' >"$DIR/cut" &
CALLER=$!
wait_for "the stream has begun" grep -q 'cut.5 ' "$DIR/cut"
stop_now e2
wait $CALLER; code=$?
echo "killed in a stream: the caller's connection broke: $([ $code -ne 0 ] && echo yes), an end was shown: $(grep -c DONE "$DIR/cut")"
STREAM=true TOKENS=50 chat e3 "$KEY" m -H 'X-Request-Id: cut' >"$DIR/cut"
echo "tried again elsewhere: $(grep -c 'cut\.' "$DIR/cut") tokens, $(grep -c DONE "$DIR/cut") end"
wait_for "one bill" bills_are 1
# The claim's answer is held back: the instance dies not knowing that it holds the claim.
faults p1 block_down
order e1 "$KEY" midway '{}' >/dev/null &
CALLER=$!
claimed() { curl -s "http://$PLATFORM/log/claims?from=1&max=100&wait_ms=0" | grep -q '"claims"'; }
wait_for "the claim stands in the log" claimed
stop_now e1
wait $CALLER
order e3 "$KEY" midway '{}' >"$DIR/midway"
echo "killed while claiming: $(field code <"$DIR/midway") $(field run <"$DIR/midway"), taken $(runs o1 | grep -o midway | wc -l)"
# Two instances die together while the platform is out; the third appends what it holds for both.
control "$PLATFORM" '{"outage":1}'
INSTANCES="e1 e2 e3 e4"
faults p1 pass
"$BUILD/tests/loadgen" --to "$ADDR_e3" --key "$KEY" --model m --requests 20 --concurrency 10 --tokens 2 --name two | cut -d' ' -f 2-4
stop_now e3
control "$PLATFORM" '{"outage":0}'
wait_for "21 bills" bills_are 21
echo "bills: $(bill_count)"
