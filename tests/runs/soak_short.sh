# A short seeded soak of the platform's face: 10 s of faults from outside, the promises checked meanwhile.
set -o pipefail
bash tests/soak/soak.sh 4 10 3 8 >"${TMPDIR:-/tmp}/soak-short.$$" 2>&1
code=$?
grep -E '^(BROKEN|FAILED|verdict)' "${TMPDIR:-/tmp}/soak-short.$$"
[ $code -eq 0 ] || cat "${TMPDIR:-/tmp}/soak-short.$$" >&2
rm -f "${TMPDIR:-/tmp}/soak-short.$$"
exit $code
