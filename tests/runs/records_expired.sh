# Symptom: a new instance served an old table, forgot an order's key, or never became ready.
# Sequence: an instance is away (stopped by SIGSTOP, or new) while the log's records expire; then
# every instance vanishes and a new one starts on what the log still holds.
# Cause: state lived in records that were gone. Snapshots of the table and kept keys stand in the
# log before what they replace expires.
. tests/lib.sh
start_platform
engine r1 d1 --versions m/1,m/2
service o1 d1 orders
publish "a,m,1,100,,,,1,,allowed" "a,m,2,0,,,,1,,allowed" "a,service:orders,,,,,,,,allowed"
KEY=$(cwctl organisation add a)
plan e1:d1 e2:d2 e3:d3
instance e1
instance e2
echo "an order: $(order e1 "$KEY" old-key '{"metres":1}' | field order)"
log_first() { curl -s "http://$PLATFORM/log/$1?from=1&max=1&wait_ms=0" | field first; }
log_end() { curl -s "http://$PLATFORM/log/$1?from=$(log_first "$1")&max=1000&wait_ms=0" | field next; }
snapshot_stands() { curl -s "http://$PLATFORM/log/table?from=$1&max=100&wait_ms=0" | grep -q '"snapshot"'; }
floor_stands() { curl -s "http://$PLATFORM/log/claims?from=$1&max=1000&wait_ms=0" | grep -q '"floor"'; }
# e2 sleeps; the table moves on; the first records expire.
kill -STOP "$PID_e2"
for weight in 90 80 70 60; do cwctl table set a m 1 weight $weight >/dev/null; done
cwctl table set a m 2 weight 100 >/dev/null
cwctl table set a m 1 state withdrawn >/dev/null
control "$PLATFORM" '{"expire":{"table":6,"claims":2}}'
wait_for "a snapshot in the log" snapshot_stands 6
wait_for "a floor of claims in the log" floor_stands 2
control "$PLATFORM" "{\"expire\":{\"table\":8}}"
kill -CONT "$PID_e2"
INSTANCES="e1 e2"
wait_for "e2 catches up" in_force 8
echo "e2 after its sleep: $(chat e2 "$KEY" m -D "$DIR/head" -o /dev/null; grep -i '^x-model-version' "$DIR/head" | tr -d '\r')"
# Every instance vanishes at once; a new one has only the log.
stop_now e1; stop_now e2
INSTANCES="e3"
instance e3
echo "e3 from the log alone: $(chat e3 "$KEY" m -D "$DIR/head" -o /dev/null; grep -i '^x-model-version' "$DIR/head" | tr -d '\r')"
guarded() { [ "$(order e3 "$KEY" old-key '{"metres":1}' -D "$DIR/head" | field order)" = 1 ]; }
wait_for "e3 knows the old key" guarded
echo "the old order again: replayed $(grep -ci '^x-replayed' "$DIR/head"), taken $(runs o1 | grep -o old-key | wc -l)"
# All records of claims expire while nobody is there: a new instance cannot know the keys. It must
# refuse orders as "not run" rather than take one twice.
stop_now e3
control "$PLATFORM" "{\"expire\":{\"claims\":$(log_end claims)}}"
instance e3
order e3 "$KEY" old-key '{"metres":1}' >"$DIR/refused"
echo "with every record gone: $(field code <"$DIR/refused") $(field run <"$DIR/refused"), taken $(runs o1 | grep -o old-key | wc -l)"
echo "and chats go on: $(chat e3 "$KEY" m -o /dev/null -w '%{http_code}')"
