# A graceful stop completes every request. Symptom this prevents: requests were aborted 7 s after SIGTERM. Callers sent
# further requests on connections that stayed open after the last readiness call; the process accepted them while it
# waited for its streams, and was killed. So answers announce that the connection closes, and idle ones are closed.
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
is_running() { [ -n "$(runs e1)" ]; }
wait_for "the stream runs" is_running
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
