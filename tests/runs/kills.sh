# Guards against state that is lost with a killed instance: a caller takes a partial answer for a complete
# one, an order runs twice, or there is a bill for an answer that no caller received. Instances are killed
# during a stream, while the append of a claim is in progress, and during an outage of the platform; the
# callers retry on other instances.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1 --slots 64 --token-ms 20
service o1 d1 orders
publish "a,m,1,100,,,,1,,allowed" "a,service:orders,,,,,,,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2 e3:d3 e4:d4
start_proxy p1 "$PLATFORM"
PLATFORM_e1=$ADDR_p1
FAST='"silent_ms": 500, "heartbeat_ms": 100,'
instance e1 "$FAST"; instance e2 "$FAST"; instance e3 "$FAST"; instance e4 "$FAST"
has_live_peers() { [ "$(curl -s "http://$(operator_of "$1")/status" | grep -o '"state":"live"' | wc -l)" -eq "$2" ]; }
for i in e1 e2 e3 e4; do wait_for "$i sees its peers" has_live_peers $i 3; done
STREAM=true TOKENS=50 chat e2 "$KEY" m -H 'X-Request-Id: cut' >"$DIR/cut" &
CALLER=$!
wait_for "the stream has begun" grep -q 'cut.5 ' "$DIR/cut"
stop_now e2
wait $CALLER; code=$?
echo "killed during a stream: the caller's connection broke: $([ $code -ne 0 ] && echo yes), end markers: $(grep -c DONE "$DIR/cut")"
STREAM=true TOKENS=50 chat e3 "$KEY" m -H 'X-Request-Id: cut' >"$DIR/cut"
echo "retried on another instance: $(grep -c 'cut\.' "$DIR/cut") tokens, $(grep -c DONE "$DIR/cut") end marker"
wait_for "one bill" has_bills 1
# The proxy holds back the answer to the claim's append: the instance is killed before it knows that it holds the
# claim.
set_fault p1 block_down
order e1 "$KEY" midway '{}' >/dev/null &
CALLER=$!
is_claimed() { curl -s "http://$PLATFORM/log/claims?from=1&max=100&wait_ms=0" | grep -q '"claims"'; }
wait_for "the claim is in the log" is_claimed
stop_now e1
wait $CALLER
order e3 "$KEY" midway '{}' >"$DIR/midway"
echo "killed while claiming: $(json_field code <"$DIR/midway") $(json_field run <"$DIR/midway"), received $(runs o1 | grep -o midway | wc -l)"
# The third instance is killed during an outage of the platform: the last one appends the bills it mirrors.
control "$PLATFORM" '{"outage":1}'
INSTANCES="e1 e2 e3 e4"
set_fault p1 pass
"$BUILD/tests/loadgen" --to "$ADDR_e3" --key "$KEY" --model m --requests 20 --concurrency 10 --tokens 2 --name two | cut -d' ' -f 2-4
stop_now e3
control "$PLATFORM" '{"outage":0}'
wait_for "21 bills" has_bills 21
echo "bills: $(bill_count)"
