# What the runs on requests that end servers share: reads the engines' own lines ("fatal MS" when such a
# request began to run, "ended MS" when the server ended under it). Source it after the other libraries.
ends() { cat "$DIR"/e[0-9]*.log | sed -n 's/^ended //p' | sort -n; }
third_end() { ends | sed -n 3p; }
# late_runs MS FROM: begun later than that after FROM, or after the third end.
late_runs() {
	local since=${2:-$(third_end)}
	[ -n "$since" ] || { echo 0; return; }
	cat "$DIR"/e[0-9]*.log | awk -v t="$((since + $1))" '$1 == "fatal" && $2 > t' | wc -l
}
uptime_ms() { awk '{print int($1 * 1000)}' /proc/uptime; }
at_most() { [ "$2" -le "$1" ] && echo "at most $1: yes" || echo "at most $1: no, $2"; }
at_least() { [ "$2" -ge "$1" ] && echo "at least $1: yes" || echo "at least $1: no, $2"; }
