# Faults of backend servers as callers see them: a non-idempotent request runs at most once, and is reported as not
# run only where that is certain; an idempotent request is retried on another server; a broken stream resumes after its
# last event, in the same answer; an answer of a small model with low confidence is replaced by the large model's.
. tests/lib.sh
. tests/lib_users.sh
store_start
config 1 k1
runner e1 llm v1 --confidence 90
runner e2 llm v1 --confidence 90
runner a1 app v1
entry n1
wait_for "ready" ready n1
run_count() { runs "$1" | grep -c "^$2 "; }
echo "-- the answer to a non-idempotent request breaks off"
runner_mode a1 short
ask n1 POST /order/1 o1 -d x | head -1
echo "runs of o1: $(run_count a1 o1)"
echo "-- the server reports that it did not run a non-idempotent request"
runner_mode a1 notrun
ask n1 POST /order/1 o2 -d x -D "$DIR/head" | head -1
grep -ic '^retry-after: 0\.' "$DIR/head"
echo "runs of o2: $(run_count a1 o2)"
echo "-- an answer that is not HTTP"
runner_mode a1 garble
# For a short time after the rejection of o2 the instance may reject a request unsent, with 503, as under overload. The
# status of the first request that a1 runs counts.
for n in $(seq 20); do
	status=$(ask n1 POST /order/1 "o3$n" -d x | head -1)
	[ "$status" = 503 ] && [ "$(run_count a1 "o3$n")" = 0 ] || break
done
echo "$status"
echo "-- an idempotent request whose first server fails is retried on the second"
runner a2 app v1
wait_for "a2 listed" grep -q 'event=server server=a2' "$DIR/n1.log"
runner_mode a1 error
for i in 1 2 3 4 5 6; do ask n1 GET /read/1 r$i | head -1; done | sort | uniq -c | tr -s ' '
echo "-- every server breaks a stream after two events: the stream resumes, twice"
runner_mode e1 cut
runner_mode e2 cut
stream n1 6 s1
runner_mode e1 ok
runner_mode e2 ok
wait_for "the request ended" grep -q 'event=ended request=s1' "$DIR/n1.log"
grep -c 'event=attempt_failed request=s1' "$DIR/n1.log"
echo "-- a small model with low confidence is replaced by the large one"
runner e3 llm v1 --confidence 10
wait_for "e3 listed" grep -q 'event=server server=e3' "$DIR/n1.log"
list e1 llm v1 draining
list e2 llm v1 draining
wait_for "leaving" grep -q 'server=e2 .*leaving=1' "$DIR/n1.log"
stream n1 3 s2
runs e3
echo "-- the last server is draining: rejected, not run"
list e3 llm v1 draining
wait_for "leaving" grep -q 'server=e3 .*leaving=1' "$DIR/n1.log"
stream n1 3 s3
