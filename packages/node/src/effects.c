#include "node_internal.h"

static const char *const stream_names[CW_STREAM_COUNT] = {
	[CW_STREAM_TABLE] = "table",
	[CW_STREAM_CLAIMS] = "claims",
	[CW_STREAM_NOTICES] = "notices",
	[CW_STREAM_BILLS] = "bills",
};

static const struct {
	const char *name;
	int http;
} codes[CW_CODE_COUNT] = {
	[CW_CODE_UNAUTHORISED] = {"unauthorised", 401},
	[CW_CODE_NOT_ALLOWED] = {"not_allowed", 403},
	[CW_CODE_BAD_REQUEST] = {"bad_request", 400},
	[CW_CODE_LIMIT_EXCEEDED] = {"limit_exceeded", 429},
	[CW_CODE_OVERLOADED] = {"overloaded", 503},
	[CW_CODE_NO_BACKEND_SERVER] = {"no_backend_server", 503},
	[CW_CODE_PLATFORM_UNAVAILABLE] = {"platform_unavailable", 503},
	[CW_CODE_DUPLICATE] = {"duplicate", 409},
	[CW_CODE_LEAVING] = {"leaving", 503},
	[CW_CODE_UPSTREAM_FAILED] = {"upstream_failed", 502},
	[CW_CODE_DEADLINE] = {"deadline", 504},
	[CW_CODE_QUARANTINED] = {"quarantined", 422},
};

void cw_effects_open(struct cw_effects *effects)
{
	STAILQ_INIT(&effects->queue);
}

struct cw_effect *cw_effects_pop(struct cw_effects *effects)
{
	struct cw_effect *effect = STAILQ_FIRST(&effects->queue);

	if (effect)
		STAILQ_REMOVE_HEAD(&effects->queue, link);
	return effect;
}

void cw_effect_destroy(struct cw_effect *effect)
{
	switch (effect->kind) {
	case CW_EFFECT_REPLAY:
	case CW_EFFECT_REPLY:
		g_free(effect->replay.answer);
		break;
	case CW_EFFECT_APPEND:
		g_free(effect->append.data);
		break;
	case CW_EFFECT_SEND:
		g_free(effect->send.bytes.data);
		break;
	case CW_EFFECT_RATE:
		g_free(effect->rate.answer);
		break;
	case CW_EFFECT_EVENT:
		g_free(effect->event.detail);
		break;
	default:
		break;
	}
	g_free(effect);
}

const char *cw_stream_name(enum cw_stream stream)
{
	return stream_names[stream];
}

const char *cw_error_code_name(enum cw_error_code code)
{
	return codes[code].name;
}

int cw_error_code_http_status(enum cw_error_code code)
{
	return codes[code].http;
}

const char *cw_run_name(enum cw_run_state run)
{
	static const char *const names[] = {"not_run", "unknown", "run"};

	return names[run];
}
