# Guards against a fabric order that runs twice. One order is sent to three instances at once, again after
# its answer, again after the instance that ran it was killed, and again while its outcome is unknown. Each
# instance took its own attempt for the first one; now the first claim in the shared log decides.
. tests/lib.sh
ROUNDS=20
start_platform
service o1 d1 orders --first-ms 20
service o2 d2 orders --first-ms 20
publish "a,service:orders,,,,,,,,allowed" "b,service:orders,,,,,,,,allowed"
KEY=$(cwctl organisation add a)
KEY_B=$(cwctl organisation add b)
plan e1:d1 e2:d2 e3:d3
instance e1; instance e2; instance e3
has_counters() { for i in e1 e2 e3; do [ "$(counter_value $i answers_total)" -ge 0 ] || return 1; done; }
order_from() { # INSTANCE NUMBER
	order "e$(($1 % 3 + 1))" "$KEY" "round-$ROUND" '{"metres":1}' -o "$DIR/answer-$ROUND-$1" -w '%{http_code}\n' >>"$DIR/codes"
}
for ROUND in $(seq $ROUNDS); do run_parallel 3 order_from; done
received_orders() { { runs o1; runs o2; } | grep -oE "\"key\":\"$1\"" | wc -l; }
twice=0
for ROUND in $(seq $ROUNDS); do [ "$(received_orders "round-$ROUND")" -eq 1 ] || twice=$((twice + 1)); done
echo "$ROUNDS orders, 3 callers at once each: $twice not run exactly once"
echo "answers other than the order's or a duplicate: $(grep -vcE '^(201|409)$' "$DIR/codes")"
echo "orders without any success: $(for ROUND in $(seq $ROUNDS); do grep -l '"order"' "$DIR"/answer-$ROUND-* >/dev/null 2>&1 || echo x; done | wc -l)"
order e1 "$KEY" round-1 '{"metres":1}' -D "$DIR/head" | json_field key
grep -ci '^x-replayed: true' "$DIR/head"
echo "the same key for another order: $(order e2 "$KEY" round-1 '{"metres":2}' | json_field code)"
echo "the same key of another organisation: $(order e2 "$KEY_B" round-1 '{"metres":1}' | json_field key)"
# The instance that holds the claim is killed while the service runs the order: its outcome is unknown, and no
# instance sends the order again.
control "$ADDR_o1" '{"first_ms":1500}'; control "$ADDR_o2" '{"first_ms":1500}'
order e1 "$KEY" killed '{"metres":5}' >/dev/null &
CALLER=$!
is_received() { [ "$(received_orders killed)" -eq 1 ]; }
wait_for "the service has the order" is_received
stop_now e1
wait $CALLER
order e2 "$KEY" killed '{"metres":5}' >"$DIR/after"
echo "after the kill: $(json_field code <"$DIR/after") $(json_field run <"$DIR/after"), received $(received_orders killed)"
# The service receives the order and never answers.
control "$ADDR_o1" '{"fault":"hang","count":1,"first_ms":1}'; control "$ADDR_o2" '{"fault":"hang","count":1,"first_ms":1}'
order e2 "$KEY" silent '{"metres":6}' -H 'X-Deadline-Ms: 1500' >"$DIR/silent"
echo "a silent service: $(json_field code <"$DIR/silent") $(json_field run <"$DIR/silent")"
order e3 "$KEY" silent '{"metres":6}' >"$DIR/silent"
echo "its retry: $(json_field code <"$DIR/silent") $(json_field run <"$DIR/silent"), received $(received_orders silent)"
control "$ADDR_o1" '{"fault":"none"}'; control "$ADDR_o2" '{"fault":"none"}'
# No server can be reached: the refusal says "not run", and a retry with the same key runs the order.
stop_now o1; stop_now o2
order e2 "$KEY" nowhere '{"metres":7}' >"$DIR/nowhere"
echo "no server: $(json_field run <"$DIR/nowhere")"
start o1 "$BUILD/tests/standin-backend" --kind service --name o1 --port "${ADDR_o1##*:}"
wait_for "o1 is back" curl -sf "http://$ADDR_o1/load"
is_ordered() { order e3 "$KEY" nowhere '{"metres":7}' | grep -q '"order"'; }
wait_for "the order succeeds" is_ordered
echo "afterwards received: $(received_orders nowhere)"
