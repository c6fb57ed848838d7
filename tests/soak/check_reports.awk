# Checks what one backend server got against what it had reported about itself in its answers. Prints a line for the
# first violation of each kind.
#   awk -v server=NAME -v faults=FILE -v callers=FILE -v hosts=FILE -f check_reports.awk SERVER_LOG
# faults: MS KIND TARGET lines of the soak. callers: ID KIND HOST STATUS RESULT AT_MS TOOK_MS lines of soak-callers.
# hosts: HOST INSTANCE. A restart or freeze of an instance excuses it; a fault of the server's link excuses what was
# reported or received around it. Requests of unknown instances do not count.

BEGIN {
	LIMIT_WINDOW = 4000; CONTACT = 3000; TOLD = 500; DRAIN = 2000; EXCUSED = 3000; CHANGE = 1000
	while ((getline line < hosts) > 0) { split(line, f, " "); instance_at[f[1]] = f[2] }
	while ((getline line < callers) > 0) { split(line, f, " "); instance_of[f[1]] = instance_at[f[3]]; sent_ms[f[1]] = f[6] }
	while ((getline line < faults) > 0) {
		split(line, f, " ")
		if (f[2] == "kill" || f[2] == "term" || f[2] == "stop") { n = ++fault_count[f[3]]; fault_ms[f[3], n] = f[1] }
		if ((f[2] == "link" || f[2] == "delay") && f[3] == server) link_ms[++link_count] = f[1]
	}
}

# Whether the instance had a fault from BEFORE ms before from to until.
function had_fault(instance, from, until,    i) {
	for (i = 1; i <= fault_count[instance]; i++)
		if (fault_ms[instance, i] > from - EXCUSED && fault_ms[instance, i] < until) return 1
	return 0
}

function is_link_faulty(from, until,    i) {
	for (i = 1; i <= link_count; i++)
		if (link_ms[i] > from - EXCUSED && link_ms[i] < until) return 1
	return 0
}

function report(kind, text) {
	if (!reported[kind]++) print kind " " server " " text
}

# The highest limit from FROM on; 0: there was none for a part of that time.
function highest_limit(from,    i, highest) {
	for (i = change_count; i > 0; i--) {
		if (changed_to[i] == "") return 0
		if (changed_to[i] + 0 > highest) highest = changed_to[i] + 0
		if (changed_ms[i] <= from) return highest
	}
	return 0
}

function check_limit(now,    limit, i, count) {
	limit = highest_limit(now - LIMIT_WINDOW - CHANGE)
	if (!limit || now < first_limit_ms + CONTACT || is_link_faulty(now - LIMIT_WINDOW, now)) return
	for (i = got_count; i > 0 && got_ms[i] > now - LIMIT_WINDOW && got_ms[i] > first_limit_ms + CONTACT; i--) count += counts[i]
	if (count > 1.5 * limit * LIMIT_WINDOW / 1000 + 5)
		report("LIMIT", "at " now ": " count " requests in 4 s, limit " limit)
}

function check_rest(instance, now,    i) {
	for (i = rest_count[instance]; i > 0 && i > rest_count[instance] - 30; i--) {
		if (now <= rest_from[instance, i] + TOLD || now >= rest_until[instance, i]) continue
		if (had_fault(instance, rest_from[instance, i], now) || is_link_faulty(rest_from[instance, i], now)) continue
		if (++rest_got[instance, i] > 2)
			report("BUDGET", "at " now ": " rest_got[instance, i] " requests of " instance " in a rest asked for at " rest_from[instance, i])
	}
}

$1 == "admin" && $3 == "limit" {
	changed_ms[++change_count] = $2
	changed_to[change_count] = $4
	if ($4 != "") first_limit_ms = first_limit_ms ? first_limit_ms : $2
	if ($4 == "") first_limit_ms = 0
}
# A server that crashed and started again reports no limit any more.
$1 == "ended" { changed_ms[++change_count] = $2; changed_to[change_count] = ""; first_limit_ms = 0 }
{ instance = instance_of[$3] }
$1 == "limit" && instance && !told_ms[instance] && !is_link_faulty($2, $2) { told_ms[instance] = $2 }
$1 == "leaving" && instance && !leaving_ms[instance] && !is_link_faulty($2, $2) { leaving_ms[instance] = $2 }
$1 == "rest" && instance && !is_link_faulty($2, $2) {
	i = ++rest_count[instance]
	rest_from[instance, i] = $2
	rest_until[instance, i] = $2 + $4 * 1000
}
$1 == "got" && instance {
	got_ms[++got_count] = $2
	counts[got_count] = told_ms[instance] && $2 > told_ms[instance] + TOLD && !had_fault(instance, $2, $2)
	check_limit($2)
	check_rest(instance, $2)
	if (leaving_ms[instance] && sent_ms[$3] > leaving_ms[instance] + DRAIN && !had_fault(instance, leaving_ms[instance] + EXCUSED, $2))
		report("DRAIN", "at " $2 ": request " $3 " of " instance ", told at " leaving_ms[instance])
}
