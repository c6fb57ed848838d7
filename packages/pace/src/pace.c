#include "cw_pace.h"

#include <glib.h>

void cw_pace_clear(struct cw_pace *pace)
{
	g_clear_pointer(&pace->origins, g_free);
	pace->origin_count = 0;
}

double cw_pace_lasting(const struct cw_pace *pace, int64_t now_ms)
{
	return CW_PACE_USUAL;
}

double cw_pace_factor(const struct cw_pace *pace, int64_t now_ms)
{
	return cw_pace_lasting(pace, now_ms);
}
