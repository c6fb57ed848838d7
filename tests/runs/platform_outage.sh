# Guards against an outage of the platform that makes requests hang, loses or duplicates bills, or lets an
# order run without a claim, as happened when the request path depended on the platform. The platform is
# unavailable during a burst of requests and recovers; then it answers slowly; then it loses answers.
# Requests are served throughout; orders are refused at once with "not run"; bills wait for the platform.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1 --slots 32
engine r2 d2 --versions m/1 --slots 32
service o1 d1 orders
publish "a,m,1,100,,,,1,,allowed" "a,service:orders,,,,,,,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2 e3:d2
instance e1; instance e2; instance e3
ALL=$ADDR_e1,$ADDR_e2,$ADDR_e3
load() { "$BUILD/tests/loadgen" --to "$ALL" --key "$KEY" --model m --tokens 10 "$@" | cut -d' ' -f 1-6; }
control "$PLATFORM" '{"outage":1}'
wait_for "the outage is noticed" sh -c "curl -s http://$OPERATOR_e1/status | grep -q '\"platform\":\"down\"'"
load --requests 150 --concurrency 15 --name out
began=$(date +%s%N)
order e1 "$KEY" k1 '{}' >"$DIR/refused"
took=$((($(date +%s%N) - began) / 1000000))
echo "an order during the outage: $(json_field code <"$DIR/refused") $(json_field run <"$DIR/refused"), at once: $([ $took -lt 1000 ] && echo yes || echo "no, $took ms"), retry hint: $([ "$(json_field retry_after_ms <"$DIR/refused")" -gt 0 ] && echo yes)"
control "$PLATFORM" '{"outage":0}'
wait_for "150 bills" has_bills 150
is_ordered() { order e2 "$KEY" k1 '{}' | grep -q '"order"'; }
wait_for "the order succeeds" is_ordered
echo "orders received: $(runs o1 | grep -o '"key":"k1"' | wc -l)"
control "$PLATFORM" '{"slow_ms":400}'
load --requests 60 --concurrency 15 --name slow
echo "an order on a slow platform: $(order e1 "$KEY" k2 '{}' | json_field key)"
control "$PLATFORM" '{"slow_ms":0,"lose_answers":4}'
load --requests 60 --concurrency 15 --name lost
control "$PLATFORM" '{"lose_answers":2}'
echo "an order whose claim's answer is lost: $(order e3 "$KEY" k3 '{}' | json_field key)"
wait_for "bills" has_bills 273
echo "orders received: $(runs o1 | grep -oE '"key":"k[23]"' | wc -l), bills: $(bill_count)"
echo "duplicate bills in the log: $(cwctl bills | tail -n 1 | grep -oE '[0-9]+ repeats')"
