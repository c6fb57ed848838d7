#!/usr/bin/env bash
# Five streams on a route that may not be resumed; a small model answers each with a low confidence.
. "$(dirname "$0")/../standins-2/lib.sh"
CONFIDENCE=10
[ "$TROUBLE" = 1 ] || CONFIDENCE=95
store_start
config 1
server llm1 llm 101 events=76 event_bytes=55 gap_ms=10 confidence=$CONFIDENCE
server llm2 llm 102 events=76 event_bytes=55 gap_ms=10 confidence=$CONFIDENCE
entry e1 1
wait_for "e1 is ready" ready e1
sleep 3.5
for i in 1 2 3 4 5; do
	"$TOOLS/client" to="$HOST_e1:$P_FRONT" path=/chat/$i id=report-$i >>"$RECORD" || cannot_run "report-$i has no whole answer"
	sleep 0.2
done
for i in 1 2 3 4 5; do grep -q " run .* report-$i " "$RECORD" || cannot_run "report-$i did not run"; done
twice=$(sed -n 's/^[0-9]* run [^ ]* \([^ ]*\) .*/\1/p' "$RECORD" | sort | uniq -d | wc -l)
record "requests that ran more than once: $twice of 5"
verdict "$twice"
