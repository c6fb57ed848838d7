# Guards against a dispatch to a withdrawn version: by a retry, the second step of a cascade or a resume. A
# version is withdrawn while a request waits between two dispatches. The state was looked up once, on
# arrival; it must be looked up again right before every dispatch.
. tests/lib.sh
start_platform
engine r1 d1 --versions cheap/1,costly/1,costly/2 --token-ms 10
engine r2 d1 --versions cheap/1,costly/1,costly/2 --token-ms 10
publish "a,cheap,1,100,,,,0.1,0.8,allowed" "a,costly,1,100,,,,2,0.8,allowed" "a,costly,2,100,,,,2,0.8,withdrawn"
KEY=$(cwctl organisation add a)
plan e1:d1
instance e1 '"idle_chunk_ms": 1500,'
withdraw() { local now; now=$(cwctl table set a "$1" "$2" state withdrawn); wait_for "withdrawn" has_table_offset "${now##* }"; now=$(date +%s%3N); echo "$now" >"$DIR/at-$1-$2"; }
allow() { local now; now=$(cwctl table set a "$1" "$2" state allowed); wait_for "allowed" has_table_offset "${now##* }"; }
# late_dispatches MODEL VERSION: requests that engines began to run after the withdrawal was in force.
late_dispatches() { { runs r1; runs r2; } | grep -oE "\"model\":\"$1/$2\",\"path\":\"[^\"]*\",\"time_ms\":[0-9]+" | grep -oE '[0-9]+$' | awk -v at="$(cat "$DIR/at-$1-$2")" '$1>at' | wc -l; }
for i in $(seq 30); do chat e1 "$KEY" costly -o /dev/null -D - -H "X-Request-Id: w$i" | grep -i '^x-model-version'; done | tr -d '\r' | sort -u
# A retry: the first server hangs with the request, then the attempt fails.
control "$ADDR_r1" '{"fault":"hang","count":1}'; control "$ADDR_r2" '{"fault":"hang","count":1}'
chat e1 "$KEY" costly -H 'X-Request-Id: retried' -D "$DIR/head" >"$DIR/retried" &
CALLER=$!
is_received() { { runs r1; runs r2; } | grep -q "\"$1\""; }
wait_for "the request hangs" is_received retried
allow costly 2
withdraw costly 1
control "$ADDR_r1" '{"fault":"none"}'; control "$ADDR_r2" '{"fault":"none"}'
wait $CALLER
echo "the retry went to: $(grep -i '^x-model-version' "$DIR/head" | tr -d '\r'); late dispatches to costly/1: $(late_dispatches costly 1)"
# A stream hangs after three chunks and its version is withdrawn: it must not be resumed there.
control "$ADDR_r1" '{"fault":"freeze","after":3,"count":1}'; control "$ADDR_r2" '{"fault":"freeze","after":3,"count":1}'
STREAM=true TOKENS=10 chat e1 "$KEY" costly -H 'X-Request-Id: frozen' >"$DIR/frozen" &
CALLER=$!
wait_for "three chunks came" grep -q 'frozen.3 ' "$DIR/frozen"
allow costly 1
withdraw costly 2
wait $CALLER
echo "the resume: $(grep -c '^event: error' "$DIR/frozen") error event, $(grep '^data' "$DIR/frozen" | tail -n 1 | json_field code), late dispatches to costly/2: $(late_dispatches costly 2)"
control "$ADDR_r1" '{"fault":"none"}'; control "$ADDR_r2" '{"fault":"none"}'
# A cascade: the cheap answer is rated too low while the costly version is withdrawn.
control "$PLATFORM" '{"scores":{"cheap/1":0.3,"costly/1":0.9}}'
for i in $(seq 60); do chat e1 "$KEY" auto -H 'X-Task: tag' -H "X-Request-Id: c$i" -o /dev/null; done
echo "escalated before: $([ "$(cwctl timeline | grep -c 'event=escalate')" -gt 0 ] && echo yes)"
withdraw costly 1
for i in $(seq 20); do chat e1 "$KEY" auto -H 'X-Task: tag' -H "X-Request-Id: d$i" -D - -o /dev/null | grep -iE '^x-model-version'; done | tr -d '\r' | sort | uniq -c | sed 's/^ *//'
echo "late dispatches to costly/1: $(late_dispatches costly 1)"
withdraw cheap 1
echo "nothing allowed: $(chat e1 "$KEY" auto | json_field code), late dispatches to cheap/1: $(late_dispatches cheap 1)"
