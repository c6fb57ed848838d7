#include "cw_warmup.h"

#include <glib.h>

#define PARTITION_SIDES 2    /* sides of a network partition, each with senders of its own */
#define MAX_SENDERS	5    /* instances that share a cold server's rate, if it is high enough */
#define WINDOW_MS	1050 /* one second, plus the inaccuracy of timers and clocks */

static int64_t cold_left_ms(const struct cw_warmup *warmup, int64_t now_ms);

int cw_warmup_is_cold(const struct cw_warmup *warmup, int64_t now_ms)
{
	return cold_left_ms(warmup, now_ms) > 0;
}

void cw_warmup_set_cold(struct cw_warmup *warmup, int64_t cold_ms, int64_t now_ms)
{
	warmup->cold_until_ms = now_ms + cold_ms;
}

void cw_warmup_assume_cold(struct cw_warmup *warmup, int64_t now_ms)
{
	warmup->assumed_cold_until_ms = now_ms + CW_WARMUP_ASSUMED_COLD_MS;
}

void cw_warmup_record_send(struct cw_warmup *warmup, int64_t now_ms)
{
	warmup->sent_ms[warmup->sent_next++ % CW_WARMUP_SEND_HISTORY] = now_ms;
}

/*
 * The burst that a server handles is an upper bound and not a target: the senders of all sides of a
 * network partition together stay below the burst, and those of one side below the sustained rate.
 */
unsigned int cw_warmup_quota(const struct cw_warmup_rate *rate, const struct cw_warmup_place *place)
{
	double bound = (rate->per_s * rate->factor + rate->slack) / PARTITION_SIDES;
	unsigned int all = (unsigned int)MIN(rate->per_s, bound);
	size_t senders = CLAMP(place->instances, 1, MAX_SENDERS);
	unsigned int each = MAX(all / (unsigned int)senders, 1);

	if (place->instances == 0 || place->rank >= MIN(senders, all / each))
		return 0;
	return MIN(each, CW_WARMUP_SEND_HISTORY);
}

int cw_warmup_admits(const struct cw_warmup *warmup, const struct cw_warmup_rate *rate,
		     int64_t now_ms)
{
	return cw_warmup_wait_ms(warmup, rate, now_ms) == 0;
}

int64_t cw_warmup_wait_ms(const struct cw_warmup *warmup, const struct cw_warmup_rate *rate,
			  int64_t now_ms)
{
	int64_t warm_ms = cold_left_ms(warmup, now_ms);
	unsigned int quota;
	int64_t oldest_ms;

	if (rate->per_s <= 0 || warm_ms <= 0)
		return 0;
	quota = cw_warmup_quota(rate, &warmup->place);
	if (quota == 0)
		return warm_ms;
	/* The oldest of the last `quota` sends: all of them must not fall into one window. */
	oldest_ms = warmup->sent_ms[(warmup->sent_next + CW_WARMUP_SEND_HISTORY - quota) %
				    CW_WARMUP_SEND_HISTORY];
	if (oldest_ms == 0)
		return 0;
	return CLAMP(oldest_ms + WINDOW_MS - now_ms, 0, warm_ms);
}

/* Time until the server counts as warm; 0 or less: the server is warm. */
static int64_t cold_left_ms(const struct cw_warmup *warmup, int64_t now_ms)
{
	return MAX(warmup->cold_until_ms, warmup->assumed_cold_until_ms) - now_ms;
}
