# A short soak with a fixed seed in which instances are partitioned from all servers, one such cut after the other, servers
# are brittle, and servers stop for a second, beside all other faults.
set -o pipefail
bash tests/soak/soak.sh 105 20 4 10 cuts,brittle >"${TMPDIR:-/tmp}/soak-cuts.$$" 2>&1
code=$?
grep -E '^(BROKEN|FAILED|verdict)' "${TMPDIR:-/tmp}/soak-cuts.$$"
[ $code -eq 0 ] || cat "${TMPDIR:-/tmp}/soak-cuts.$$" >&2
rm -f "${TMPDIR:-/tmp}/soak-cuts.$$"
exit $code
