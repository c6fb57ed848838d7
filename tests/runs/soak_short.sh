# A short soak with a fixed seed, on the users' platform: 10 s of injected faults while the promised invariants
# are checked.
set -o pipefail
bash tests/soak/soak.sh 4 10 3 8 >"${TMPDIR:-/tmp}/soak-short.$$" 2>&1
code=$?
grep -E '^(BROKEN|FAILED|verdict)' "${TMPDIR:-/tmp}/soak-short.$$"
[ $code -eq 0 ] || cat "${TMPDIR:-/tmp}/soak-short.$$" >&2
rm -f "${TMPDIR:-/tmp}/soak-short.$$"
exit $code
