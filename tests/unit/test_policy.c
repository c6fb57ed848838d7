/* The policy file: defaults, all errors reported at once, and printing that can be loaded. */
#include "cw_policy.h"
#include "unit.h"

#include <glib/gstdio.h>
#include <string.h>

/* Loads a file with the given text; the caller frees the faults. */
static enum cw_status load(const char *text, struct cw_policy *policy, GString *faults)
{
	gchar *name = NULL;
	int file = g_file_open_tmp("policy-XXXXXX", &name, NULL);
	enum cw_status status;

	assert_true(file >= 0);
	g_close(file, NULL);
	assert_true(g_file_set_contents(name, text, -1, NULL));
	status = cw_policy_load(name, policy, faults);
	g_unlink(name);
	g_free(name);
	return status;
}

static void omitted_fields_keep_their_defaults(void **state)
{
	GString *faults = g_string_new(NULL);
	struct cw_policy policy;

	assert_int_equal(load("{\"noise_ms\": 9}", &policy, faults), CW_OK);
	assert_true(policy.noise_ms == 9);
	assert_true(policy.running_ms == cw_policy_default()->running_ms);
	assert_int_equal(faults->len, 0);
	g_string_free(faults, TRUE);
}

static void all_errors_are_reported_at_once(void **state)
{
	GString *faults = g_string_new(NULL);
	struct cw_policy policy;

	assert_int_equal(
		load("{\"noise\": 9, \"quiet_ms\": \"long\", \"shed_part\": 3}", &policy, faults),
		CW_INVALID);
	assert_non_null(strstr(faults->str, "noise: unknown"));
	assert_non_null(strstr(faults->str, "quiet_ms: no number"));
	assert_non_null(strstr(faults->str, "shed_part: 3 is not within 0 to 1"));
	g_string_truncate(faults, 0);
	assert_int_equal(load("[1]", &policy, faults), CW_INVALID);
	assert_true(faults->len > 0);
	g_string_free(faults, TRUE);
}

/* A printed policy loads as the same policy, and each off value is valid and no default. */
static void a_printed_policy_can_be_loaded(void **state)
{
	GString *faults = g_string_new(NULL);
	struct cw_policy policy = *cw_policy_default();
	struct cw_policy reloaded;
	char *text = NULL;
	size_t size;
	size_t count;
	const struct cw_policy_field *fields = cw_policy_fields(&count);
	FILE *out = open_memstream(&text, &size);

	policy.noise_ms = 7;
	cw_policy_print(&policy, out);
	fclose(out);
	assert_int_equal(load(text, &reloaded, faults), CW_OK);
	assert_memory_equal(&policy, &reloaded, sizeof(policy));
	free(text);
	assert_int_equal(count * sizeof(double), sizeof(struct cw_policy));
	for (size_t i = 0; i < count; i++) {
		assert_true(fields[i].off_value >= fields[i].min &&
			    fields[i].off_value <= fields[i].max);
		assert_true(fields[i].off_value != fields[i].default_value);
	}
	g_string_free(faults, TRUE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(omitted_fields_keep_their_defaults),
		cmocka_unit_test(all_errors_are_reported_at_once),
		cmocka_unit_test(a_printed_policy_can_be_loaded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
