# Guards against an instance that serves an old table, forgets an order's idempotency key or never becomes
# ready, because its state was in log records that have expired. An instance is paused by SIGSTOP while
# records expire; then all instances are killed and a new one starts from what the log still has. Snapshots
# of the table and of the idempotency keys must be in the log before the records they replace expire.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1,m/2
service o1 d1 orders
publish "a,m,1,100,,,,1,,allowed" "a,m,2,0,,,,1,,allowed" "a,service:orders,,,,,,,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2 e3:d3
instance e1
instance e2
echo "an order: $(order e1 "$KEY" old-key '{"metres":1}' | json_field order)"
log_first() { curl -s "http://$PLATFORM/log/$1?from=1&max=1&wait_ms=0" | json_field first; }
log_end() { curl -s "http://$PLATFORM/log/$1?from=$(log_first "$1")&max=1000&wait_ms=0" | json_field next; }
has_snapshot() { curl -s "http://$PLATFORM/log/table?from=$1&max=100&wait_ms=0" | grep -q '"snapshot"'; }
has_claims_floor() { curl -s "http://$PLATFORM/log/claims?from=$1&max=1000&wait_ms=0" | grep -q '"floor"'; }
# e2 is paused; the table is edited; the first records expire.
kill -STOP "$PID_e2"
for weight in 90 80 70 60; do cwctl table set a m 1 weight $weight >/dev/null; done
cwctl table set a m 2 weight 100 >/dev/null
cwctl table set a m 1 state withdrawn >/dev/null
control "$PLATFORM" '{"expire":{"table":6,"claims":2}}'
wait_for "a snapshot in the log" has_snapshot 6
wait_for "a snapshot of the claims in the log" has_claims_floor 2
control "$PLATFORM" "{\"expire\":{\"table\":8}}"
kill -CONT "$PID_e2"
INSTANCES="e1 e2"
wait_for "e2 catches up" has_table_offset 8
echo "e2 after the pause: $(chat e2 "$KEY" m -D "$DIR/head" -o /dev/null; grep -i '^x-model-version' "$DIR/head" | tr -d '\r')"
# All instances are killed; a new one has only the log.
stop_now e1; stop_now e2
INSTANCES="e3"
instance e3
echo "e3 from the log alone: $(chat e3 "$KEY" m -D "$DIR/head" -o /dev/null; grep -i '^x-model-version' "$DIR/head" | tr -d '\r')"
is_replayed() { [ "$(order e3 "$KEY" old-key '{"metres":1}' -D "$DIR/head" | json_field order)" = 1 ]; }
wait_for "e3 knows the old key" is_replayed
echo "the old order retried: replayed $(grep -ci '^x-replayed' "$DIR/head"), received $(runs o1 | grep -o old-key | wc -l)"
# All records of claims expire while no instance runs: a new instance cannot know the keys. It must refuse
# orders as "not run" rather than run one twice.
stop_now e3
control "$PLATFORM" "{\"expire\":{\"claims\":$(log_end claims)}}"
instance e3
order e3 "$KEY" old-key '{"metres":1}' >"$DIR/refused"
echo "with all records of claims expired: $(json_field code <"$DIR/refused") $(json_field run <"$DIR/refused"), received $(runs o1 | grep -o old-key | wc -l)"
echo "completions are still served: $(chat e3 "$KEY" m -o /dev/null -w '%{http_code}')"
