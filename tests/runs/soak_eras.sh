# A short soak with a fixed seed in which the store goes back to an older copy of itself, beside all other faults. Symptom
# this prevents: configurations, removals and drains that some instances skip, or that are undone.
set -o pipefail
bash tests/soak/soak.sh 104 14 3 8 domains,eras >"${TMPDIR:-/tmp}/soak-eras.$$" 2>&1
code=$?
grep -E '^(BROKEN|FAILED|verdict)' "${TMPDIR:-/tmp}/soak-eras.$$"
[ $code -eq 0 ] || cat "${TMPDIR:-/tmp}/soak-eras.$$" >&2
rm -f "${TMPDIR:-/tmp}/soak-eras.$$"
exit $code
