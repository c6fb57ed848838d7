# Symptom: answers without a bill after an instance died.
# Sequence: the platform refuses appends, an instance answers requests and is killed before any of
# their bills reach the log; then the platform is back. Then all mirrors see the same death twice.
# Cause: bills lived in one memory. Two peers hold each; they append what the log lacks.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1 --slots 32
publish "a,m,1,100,,,,1,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2 e3:d3 e4:d4
FAST='"silent_ms": 500, "heartbeat_ms": 100,'
instance e1 "$FAST"; instance e2 "$FAST"; instance e3 "$FAST"; instance e4 "$FAST"
peers_live() { [ "$(curl -s "http://$OPERATOR_e1/status" | grep -o '"state":"live"' | wc -l)" -eq "$1" ]; }
wait_for "e1 sees its peers" peers_live 3
control "$PLATFORM" '{"outage":1}'
"$BUILD/tests/loadgen" --to "$ADDR_e1" --key "$KEY" --model m --requests 40 --concurrency 8 --name k | cut -d' ' -f 1-4
stop_now e1
control "$PLATFORM" '{"outage":0}'
wait_for "40 bills" bills_are 40
echo "bills: $(bill_count)"
nothing_held() { local i; for i in e2 e3 e4; do [ "$(curl -s "http://$(operator_of $i)/status" | field bills_held)" -eq 0 ] || return 1; done; }
wait_for "no mirror holds one any more" nothing_held
echo "held by mirrors: none"
# The same again with the mirrors' appends losing their answers.
control "$PLATFORM" '{"outage":1}'
"$BUILD/tests/loadgen" --to "$ADDR_e2" --key "$KEY" --model m --requests 30 --concurrency 8 --name l | cut -d' ' -f 1-4
stop_now e2
control "$PLATFORM" '{"outage":0,"lose_answers":3}'
wait_for "70 bills" bills_are 70
echo "bills: $(bill_count)"
