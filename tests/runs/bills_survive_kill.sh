# Guards against answers without a bill after an instance was killed, as happened when a bill was in the
# memory of one instance only. The platform rejects appends while an instance answers requests; the instance
# is killed before its bills reach the log, and the platform recovers. Two peers mirror each bill and append
# those that the log lacks. Then the same with another instance, while answers to the mirrors' appends are
# lost.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1 --slots 32
publish "a,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2 e3:d3 e4:d4
FAST='"silent_ms": 500, "heartbeat_ms": 100,'
instance e1 "$FAST"; instance e2 "$FAST"; instance e3 "$FAST"; instance e4 "$FAST"
has_live_peers() { [ "$(curl -s "http://$OPERATOR_e1/status" | grep -o '"state":"live"' | wc -l)" -eq "$1" ]; }
wait_for "e1 sees its peers" has_live_peers 3
control "$PLATFORM" '{"outage":1}'
"$BUILD/tests/loadgen" --to "$ADDR_e1" --key "$KEY" --model m --requests 40 --concurrency 8 --name k | cut -d' ' -f 1-4
stop_now e1
control "$PLATFORM" '{"outage":0}'
wait_for "40 bills" has_bills 40
echo "bills: $(bill_count)"
mirrors_hold_none() { local i; for i in e2 e3 e4; do [ "$(curl -s "http://$(operator_of $i)/status" | json_field bills_held)" -eq 0 ] || return 1; done; }
wait_for "the mirrors hold no bills" mirrors_hold_none
echo "bills held by mirrors: none"
# Again, with the answers to the mirrors' appends lost.
control "$PLATFORM" '{"outage":1}'
"$BUILD/tests/loadgen" --to "$ADDR_e2" --key "$KEY" --model m --requests 30 --concurrency 8 --name l | cut -d' ' -f 1-4
stop_now e2
control "$PLATFORM" '{"outage":0,"lose_answers":3}'
wait_for "70 bills" has_bills 70
echo "bills: $(bill_count)"
