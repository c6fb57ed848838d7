#include "cw_policy.h"

#include <json-c/json.h>
#include <math.h>
#include <string.h>

#define FIELD(name, unit, default_value, min, max, off, purpose)                                   \
	{                                                                                          \
#name, unit, purpose, default_value, min, max, off,                                \
			offsetof(struct cw_policy, name)                                           \
	}

static const struct cw_policy_field fields[] = {
	FIELD(escalate_below, "confidence", 60, 0, 101, 0, "requests too hard for the small model"),
	FIELD(escalate_below_late, "confidence", 25, 0, 101, 60, "queueing for the large model"),
	FIELD(escalate_late_part, "of the objective", 0.8, 0.01, 1e6, 1e6,
	      "with escalate_below_late: accepts less confidence as the queue grows"),
	FIELD(escalate_queue_weight, "of a ms", 1.8, 0, 100, 1,
	      "queues are longer than an instance knows, own prefill time is known"),
	FIELD(escalate_less_taken, "of the slots", 0.5, 0, 1e6, 1e6,
	      "large-model streams that hold slots for seconds as a burst begins"),
	FIELD(escalate_none_taken, "of the slots", 0.9, 0, 1e6, 1e6, "the same"),
	FIELD(escalate_yield, "of the scarcity a priority", 0.5, 0, 100, 0,
	      "less urgent large-model streams that hold the slots of more urgent ones"),
	FIELD(escalate_whole_part, "of the time left", 0.6, 0, 1e6, 1e6,
	      "streams of 17 s that are cut off at their deadline"),
	FIELD(keep_answer, "0 or 1", 1, 0, 1, 0,
	      "requests whose largest model never answers, after a smaller one did"),
	FIELD(keep_wait_part, "of the caller's patience", 0.5, 0, 1, 0,
	      "low-confidence answers delivered while the largest model may still answer"),
	FIELD(keep_bytes, "bytes a request", 64000, 0, 1e6, 0, "answers in hand"),
	FIELD(keep_total_bytes, "bytes", 4e6, 0, 1e9, 0, "answers in hand, of all requests"),
	FIELD(rejected_to_small, "0 or 1", 1, 0, 1, 0, "requests that neither model answers"),
	FIELD(full_part, "of the sends", 0.1, 0, 2, 2, "retries to full servers"),
	FIELD(shed_part, "of the rejected", 1, 0, 1, 0,
	      "low-priority requests that queue and then time out"),
	FIELD(share_part, "of 1", 1, 0, 1, 0,
	      "organisations that lose their room to one that sends many times its usual"),
	FIELD(again_token_ms, "ms a token", 0.09, 0, 100, 0, "prompt prefixes processed again"),
	FIELD(home_part, "of a server", 0.25, 0.01, 1e6, 1e6,
	      "a hot prompt prefix that fills one server and is processed anew on the others"),
	FIELD(home_full_part, "of the slots", 1, 0, 1e6, 1e6,
	      "requests that wait for a slot where their prompt prefix is cached"),
	FIELD(connect_ms, "ms", 2, 0, 1e5, 0, "connections opened beside idle ones"),
	FIELD(cross_byte_ms, "ms a byte", 0.0032, 0, 100, 0, "bytes between failure domains"),
	FIELD(running_ms, "ms a request", 1.5, 0, 1e5, 0, "full engines generate tokens slowly"),
	FIELD(failure_ms, "ms", 1500, 0, 1e6, 0, "servers that fail a part of their requests"),
	FIELD(slowness_part, "of 1", 1, 0, 10, 0, "servers that become slow"),
	FIELD(pace_part, "of 1", 1, 0, 1, 0, "prompts that queue at slow servers"),
	FIELD(pace_learned, "0 or 1", 1, 0, 1, 0, "the same, at servers that report no speed"),
	FIELD(momentary_ms, "ms", 300, 0, 1e5, 0,
	      "the same, on machines that are busy for a moment"),
	FIELD(noise_ms, "ms", 4, 0, 1e5, 0, "all instances choose the same server"),
	FIELD(peers_ms, "ms", 3000, 0, 1e6, 0, "others' requests at the same server"),
	FIELD(told_ms, "ms", 700, 0, 1e6, 0, "queued requests unknown to gossip"),
	FIELD(unread_least, "of the work", 0.25, 0, 1, 1,
	      "a backlog estimate that outlives the work"),
	FIELD(unread_counted, "0 or 1", 1, 0, 1, 0,
	      "prompts sent behind others that a slow engine has not begun"),
	FIELD(note_min_ms, "ms of work", 100, 0, 1e9, 1e9,
	      "prompts that other instances send behind a long one between two rounds of gossip"),
	FIELD(memory_part, "of the capacity", 1, 0, 1, 0, "requests preempted in full engines"),
	FIELD(breaker_failures, "answers", 3, 1, 1e6, 1e6, "requests to a failing server"),
	FIELD(quiet_ms, "ms", 150, 1, 1e9, 1e9, "streams that wait behind a network partition"),
	FIELD(expected_silence_ms, "ms", 1000, 0, 1e6, 0,
	      "probes of servers that are silent because they work"),
	FIELD(doubt_beside, "0 or 1", 1, 0, 1, 0,
	      "a second attempt behind the same network partition"),
	FIELD(connect_part, "of the objective", 0.67, 0, 1e6, 1e6,
	      "a quick request that waits for a server that is cut off"),
	FIELD(silence_factor, "of the wait", 4, 1, 1e6, 1e6,
	      "requests that wait for a hung server"),
	FIELD(silence_part, "of the objective", 2, 0, 1e6, 1e6, "the same"),
	FIELD(pause_part, "of the pause", 3.3, 0.1, 1e6, 1e6,
	      "streams that wait for a hung server"),
	FIELD(urgency_step, "priorities", 3, 0, 9, 0,
	      "an organisation's priority outweighs a route's"),
	FIELD(reuse_idle_ms, "ms", 10000, 0, 60000, 0, "connections opened anew"),
};

static double *value_of(struct cw_policy *policy, const struct cw_policy_field *field);
static void set_field(struct cw_policy *policy, const char *name, json_object *value,
		      GString *faults);
static const struct cw_policy_field *find(const char *name);

const struct cw_policy *cw_policy_default(void)
{
	static struct cw_policy policy;

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		*value_of(&policy, &fields[i]) = fields[i].default_value;
	return &policy;
}

const struct cw_policy_field *cw_policy_fields(size_t *count)
{
	*count = G_N_ELEMENTS(fields);
	return fields;
}

double cw_policy_value(const struct cw_policy *policy, const struct cw_policy_field *field)
{
	return *value_of((struct cw_policy *)policy, field);
}

enum cw_status cw_policy_load(const char *file, struct cw_policy *policy, GString *faults)
{
	json_object *root = json_object_from_file(file);
	struct json_object_iterator at, end;

	*policy = *cw_policy_default();
	if (!json_object_is_type(root, json_type_object)) {
		g_string_append_printf(faults, "%s: cannot be read as a JSON object\n", file);
		json_object_put(root);
		return CW_INVALID;
	}
	at = json_object_iter_begin(root);
	end = json_object_iter_end(root);
	while (!json_object_iter_equal(&at, &end)) {
		set_field(policy, json_object_iter_peek_name(&at), json_object_iter_peek_value(&at),
			  faults);
		json_object_iter_next(&at);
	}
	json_object_put(root);
	return faults->len ? CW_INVALID : CW_OK;
}

void cw_policy_print(const struct cw_policy *policy, FILE *out)
{
	size_t count = G_N_ELEMENTS(fields);

	fprintf(out, "{\n");
	for (size_t i = 0; i < count; i++)
		fprintf(out, "\t/* %s, %g to %g, off %g: %s */\n\t\"%s\": %g%s\n", fields[i].unit,
			fields[i].min, fields[i].max, fields[i].off_value, fields[i].purpose,
			fields[i].name, cw_policy_value(policy, &fields[i]),
			i + 1 < count ? "," : "");
	fprintf(out, "}\n");
}

static void set_field(struct cw_policy *policy, const char *name, json_object *value,
		      GString *faults)
{
	const struct cw_policy_field *field = find(name);
	double number;

	if (!field) {
		g_string_append_printf(faults, "%s: unknown\n", name);
		return;
	}
	if (!json_object_is_type(value, json_type_int) &&
	    !json_object_is_type(value, json_type_double)) {
		g_string_append_printf(faults, "%s: no number\n", name);
		return;
	}
	number = json_object_get_double(value);
	if (!isfinite(number) || number < field->min || number > field->max) {
		g_string_append_printf(faults, "%s: %g is not within %g to %g\n", name, number,
				       field->min, field->max);
		return;
	}
	*value_of(policy, field) = number;
}

static const struct cw_policy_field *find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		if (!strcmp(fields[i].name, name))
			return &fields[i];
	return NULL;
}

static double *value_of(struct cw_policy *policy, const struct cw_policy_field *field)
{
	return (double *)((char *)policy + field->offset);
}
