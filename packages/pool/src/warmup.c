#include "cw_warmup.h"

#include <glib.h>

#define VIEWS	  2    /* sides of a cut that each find their own sharers */
#define SHARERS	  5    /* instances that share a cold server's rate, where it is high enough */
#define WINDOW_MS 1050 /* a second, and what timers and clocks may differ in it */

static int64_t left_ms(const struct cw_warmup *warmup, int64_t now_ms);

int cw_warmup_is_cold(const struct cw_warmup *warmup, int64_t now_ms)
{
	return left_ms(warmup, now_ms) > 0;
}

void cw_warmup_told(struct cw_warmup *warmup, int64_t cold_ms, int64_t now_ms)
{
	warmup->cold_until_ms = now_ms + cold_ms;
}

void cw_warmup_away(struct cw_warmup *warmup, int64_t now_ms)
{
	warmup->unknown_until_ms = now_ms + CW_WARMUP_UNKNOWN_MS;
}

void cw_warmup_sent(struct cw_warmup *warmup, int64_t now_ms)
{
	warmup->sent_ms[warmup->sent_next++ % CW_WARMUP_SENDS] = now_ms;
}

/*
 * What is borne at times is a bound and no aim: all sides of a cut together stay below it, and the
 * sharers of one side below the rate itself.
 */
unsigned int cw_warmup_quota(const struct cw_warmup_rate *rate, const struct cw_warmup_place *place)
{
	double bound = (rate->per_s * rate->factor + rate->slack) / VIEWS;
	unsigned int all = (unsigned int)MIN(rate->per_s, bound);
	size_t sharers = CLAMP(place->instances, 1, SHARERS);
	unsigned int each = MAX(all / (unsigned int)sharers, 1);

	if (place->instances == 0 || place->rank >= MIN(sharers, all / each))
		return 0;
	return MIN(each, CW_WARMUP_SENDS);
}

int cw_warmup_admits(const struct cw_warmup *warmup, const struct cw_warmup_rate *rate,
		     int64_t now_ms)
{
	return cw_warmup_wait_ms(warmup, rate, now_ms) == 0;
}

int64_t cw_warmup_wait_ms(const struct cw_warmup *warmup, const struct cw_warmup_rate *rate,
			  int64_t now_ms)
{
	int64_t warm_ms = left_ms(warmup, now_ms);
	unsigned int quota;
	int64_t oldest_ms;

	if (rate->per_s <= 0 || warm_ms <= 0)
		return 0;
	quota = cw_warmup_quota(rate, &warmup->place);
	if (quota == 0)
		return warm_ms;
	/* The send before the last ones that the quota allows in one window. */
	oldest_ms =
		warmup->sent_ms[(warmup->sent_next + CW_WARMUP_SENDS - quota) % CW_WARMUP_SENDS];
	if (oldest_ms == 0)
		return 0;
	return CLAMP(oldest_ms + WINDOW_MS - now_ms, 0, warm_ms);
}

/* Until it counts as warm; 0 or less: it does. */
static int64_t left_ms(const struct cw_warmup *warmup, int64_t now_ms)
{
	return MAX(warmup->cold_until_ms, warmup->unknown_until_ms) - now_ms;
}
