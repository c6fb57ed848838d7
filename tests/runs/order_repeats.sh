# Symptom: a fabric order was cut twice.
# Sequence: one order is sent to two instances at once, again after its answer, again after the
# instance that ran it was killed, and again while its outcome is unknown.
# Cause: each instance took its own try for the first. The claim in the log decides.
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
settled() { for i in e1 e2 e3; do [ "$(counter $i answers_total)" -ge 0 ] || return 1; done; }
both() { order "e$(($1 % 3 + 1))" "$KEY" "round-$ROUND" '{"metres":1}' -o "$DIR/answer-$ROUND-$1" -w '%{http_code}\n' >>"$DIR/codes"; }
for ROUND in $(seq $ROUNDS); do run_all 3 both; done
taken() { { runs o1; runs o2; } | grep -oE "\"key\":\"$1\"" | wc -l; }
twice=0
for ROUND in $(seq $ROUNDS); do [ "$(taken "round-$ROUND")" -eq 1 ] || twice=$((twice + 1)); done
echo "$ROUNDS orders, 3 callers at once each: $twice not taken exactly once"
echo "answers other than the order's or a duplicate: $(grep -vcE '^(201|409)$' "$DIR/codes")"
echo "orders without any success: $(for ROUND in $(seq $ROUNDS); do grep -l '"order"' "$DIR"/answer-$ROUND-* >/dev/null 2>&1 || echo x; done | wc -l)"
order e1 "$KEY" round-1 '{"metres":1}' -D "$DIR/head" | field key
grep -ci '^x-replayed: true' "$DIR/head"
echo "the same key for another order: $(order e2 "$KEY" round-1 '{"metres":2}' | field code)"
echo "the same key of another organisation: $(order e2 "$KEY_B" round-1 '{"metres":1}' | field key)"
# The instance that holds the claim is killed while the order is out: nobody knows, nobody repeats.
control "$ADDR_o1" '{"first_ms":1500}'; control "$ADDR_o2" '{"first_ms":1500}'
order e1 "$KEY" killed '{"metres":5}' >/dev/null &
CALLER=$!
order_is_out() { [ "$(taken killed)" -eq 1 ]; }
wait_for "the order is out" order_is_out
stop_now e1
wait $CALLER
order e2 "$KEY" killed '{"metres":5}' >"$DIR/after"
echo "after the kill: $(field code <"$DIR/after") $(field run <"$DIR/after"), taken $(taken killed)"
# The service takes the order and never answers.
control "$ADDR_o1" '{"fault":"hang","count":1,"first_ms":1}'; control "$ADDR_o2" '{"fault":"hang","count":1,"first_ms":1}'
order e2 "$KEY" silent '{"metres":6}' -H 'X-Deadline-Ms: 1500' >"$DIR/silent"
echo "a silent service: $(field code <"$DIR/silent") $(field run <"$DIR/silent")"
order e3 "$KEY" silent '{"metres":6}' >"$DIR/silent"
echo "its repeat: $(field code <"$DIR/silent") $(field run <"$DIR/silent"), taken $(taken silent)"
control "$ADDR_o1" '{"fault":"none"}'; control "$ADDR_o2" '{"fault":"none"}'
# No server can be reached: the refusal says "not run", and the key may be used again.
stop_now o1; stop_now o2
order e2 "$KEY" nowhere '{"metres":7}' >"$DIR/nowhere"
echo "no server: $(field run <"$DIR/nowhere")"
start o1 "$BUILD/tests/standin-backend" --kind service --name o1 --port "${ADDR_o1##*:}"
wait_for "o1 is back" curl -sf "http://$ADDR_o1/load"
again() { order e3 "$KEY" nowhere '{"metres":7}' | grep -q '"order"'; }
wait_for "the order passes" again
echo "afterwards taken: $(taken nowhere)"
