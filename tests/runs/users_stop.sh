# Symptom: at a planned stop requests were cut 7 s after SIGTERM.
# Sequence: callers keep connections open past the last readiness call and ask on them again; the process
# waits for its streams, takes more, and is killed.
# Cause: kept connections outlived readiness. They are told to close, then closed while idle.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner e1 llm v1 --confidence 90 --gap 100
runner a1 app v1
entry n1
wait_for "ready" ready n1
stream n1 25 s1 >"$DIR/stream" &
STREAM=$!
running() { [ -n "$(runs e1)" ]; }
wait_for "the stream runs" running
kill -TERM "$PID_n1"
not_ready() { ! ready n1; }
wait_for "not ready" not_ready
echo "not ready"
ask n1 POST /order/1 o1 -d x -D "$DIR/head" | head -1
grep -ic '^connection: close' "$DIR/head"
wait $STREAM
cat "$DIR/stream"
wait "$PID_n1"
echo "exit $?"
grep -c 'event=stopping' "$DIR/n1.log"
