# A request's id leads to the cause of its failure by logs and counters alone: for a rejected request, one whose
# answer broke off, and one that timed out.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner a1 app v1
entry n1
wait_for "ready" ready n1
echo "-- rejected: the key is unknown in configuration 1"
KEY=unknown ask n1 GET /read/1 q1 | head -1
wait_for "the request ended" grep -q 'event=ended request=q1' "$DIR/n1.log"
grep -o 'event=refused request=q1 status=401 run=not retry_after_ms=-1 config=1 reason="unknown key"' "$DIR/n1.log"
echo "-- failed: the server's answer broke off"
runner_mode a1 short
ask n1 POST /order/1 q2 -d x | head -1
wait_for "the request ended" grep -q 'event=ended request=q2' "$DIR/n1.log"
grep -oE 'event=dispatch request=q2 attempt=1 server=a1' "$DIR/n1.log"
grep -oE 'event=attempt_failed request=q2 server=a1 how=broken' "$DIR/n1.log"
grep -oE 'event=refused request=q2 status=502 run=maybe' "$DIR/n1.log"
echo "-- timed out: the server hangs until the route's time limit"
runner_mode a1 hang
ask n1 POST /order/1 q3 -d x | head -1
wait_for "the request ended" grep -q 'event=ended request=q3' "$DIR/n1.log"
grep -oE 'event=refused request=q3 status=504 run=maybe' "$DIR/n1.log"
echo "-- counters"
wait_for "all are counted" eval '[ "$(metric n1 "ended{outcome=\"refused\"}")" = 3 ]'
metric n1 requests
metric n1 'answer_ms_count{route="order"}'
