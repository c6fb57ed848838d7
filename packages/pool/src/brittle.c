#include "cw_brittle.h"

#include <glib.h>
#include <math.h>

#define SPLIT_PART	  0.75 /* of the places, for each of two sides that can't see each other */
#define UNKNOWN_INSTANCES 8.0  /* that share the places, until the others are known */
#define DEFAULT_SLOTS	  8
#define DEFAULT_WORK_MS	  200.0 /* of a request */
#define RAMP_MS		  4000	/* a server that came back gets all of its places then */
#define RAMP_PART	  0.2	/* of its places, at first */
#define LESS_ROOM_MS	  3000	/* a rejection shows for so long how much room there is */
#define REGAIN_MS	  2000	/* then one more place is tried in this time */
#define INVERSE_GOLDEN	  0.618 /* its multiples, modulo 1, are spread evenly */
#define TOLERATED_PART                                                                             \
	0.5 /* of the tolerated rejections that all instances may cause by their views */
#define FREE_MIN     2.0 /* places, below which a view that is some hundred ms old shows none */
#define BURST_ROOM   2.0 /* standard deviations of the requests that run */
#define TURN_PART    0.5 /* of the places taken, up to which instances without one send */
#define PEAK_MS	     400 /* longer than a view is old */
#define PAUSE_MIN_MS 50
#define PAUSE_MAX_MS 1600
#define EXPLAINED_MS 2000
#define LIFTED_MS    10000 /* that a server is no more brittle is announced for so long */
#define MS_PER_S     1000.0

static double places(const struct cw_brittle *brittle, const struct cw_brittle_load *load,
		     int64_t now_ms);
static double room_regained(const struct cw_brittle *brittle, int64_t now_ms);
static double instances(const struct cw_brittle *brittle);
static void note_peak(struct cw_brittle *brittle, const struct cw_brittle_load *load,
		      int64_t now_ms);
static double peak(const struct cw_brittle *brittle);
static void restart_turns(struct cw_brittle *brittle, const struct cw_brittle_load *load,
			  double all_places, int64_t now_ms);
static unsigned int own_places(const struct cw_brittle *brittle, double all_places);
static int may_send_in_turn(const struct cw_brittle *brittle, const struct cw_brittle_load *load,
			    double all_places, int64_t now_ms);
static int may_borrow(const struct cw_brittle *brittle, double all_places, int64_t now_ms);
static double sends_per_s(const struct cw_brittle *brittle, const struct cw_brittle_load *load,
			  int64_t now_ms);
static void refill(struct cw_brittle *brittle, const struct cw_brittle_load *load, int64_t now_ms);
static double tokens_at(const struct cw_brittle *brittle, int64_t now_ms);
static double sends_at(const struct cw_brittle *brittle, const struct cw_brittle_load *load,
		       int64_t now_ms);

/* Answers may overtake each other: one sent before the newest report was received lifts nothing. */
int cw_brittle_apply(struct cw_brittle *brittle, const struct cw_brittle_report *report,
		     int64_t now_ms)
{
	struct cw_brittle_report before = brittle->newest;

	if (before.received_ms == 0 && !report->is_brittle)
		return 0;
	if (report->received_ms < before.received_ms)
		return 0;
	if (before.is_brittle && !report->is_brittle && report->sent_ms < before.received_ms)
		return 0;
	brittle->newest = *report;
	if (before.is_brittle == report->is_brittle)
		return 0;
	brittle->room = 0;
	brittle->tokens = 0;
	brittle->sends = 0;
	brittle->filled_ms = now_ms;
	brittle->peaks[0] = DEFAULT_SLOTS;
	brittle->period_ms = now_ms;
	return 1;
}

int cw_brittle_is_announced(const struct cw_brittle *brittle, int64_t now_ms)
{
	if (brittle->newest.received_ms == 0)
		return 0;
	return brittle->newest.is_brittle || now_ms - brittle->newest.received_ms < LIFTED_MS;
}

void cw_brittle_start_ramp(struct cw_brittle *brittle, const struct cw_brittle *before,
			   int64_t now_ms)
{
	*brittle = (struct cw_brittle){
		.newest = before->newest,
		.ramp_from_ms = now_ms,
		.filled_ms = now_ms,
	};
}

int cw_brittle_admits(struct cw_brittle *brittle, const struct cw_brittle_load *load,
		      int64_t now_ms)
{
	double all = places(brittle, load, now_ms);

	if (!brittle->newest.is_brittle)
		return 1;
	note_peak(brittle, load, now_ms);
	restart_turns(brittle, load, all, now_ms);
	if (now_ms < brittle->paused_until_ms)
		return 0;
	return load->own < own_places(brittle, all) ||
	       (load->own == 0 && may_send_in_turn(brittle, load, all, now_ms)) ||
	       may_borrow(brittle, all, now_ms);
}

/* A request beyond the own part is paid for at once, and paid back if it was answered. */
void cw_brittle_record_send(struct cw_brittle *brittle, const struct cw_brittle_load *load,
			    int64_t now_ms)
{
	double all = places(brittle, load, now_ms);

	if (!brittle->newest.is_brittle || load->own < own_places(brittle, all))
		return;
	if (load->own == 0 && may_send_in_turn(brittle, load, all, now_ms)) {
		refill(brittle, load, now_ms);
		brittle->sends = MAX(brittle->sends - 1, 0);
		return;
	}
	refill(brittle, load, now_ms);
	brittle->borrowed++;
	brittle->tokens--;
}

void cw_brittle_record_rejection(struct cw_brittle *brittle, double taken, int64_t now_ms)
{
	if (!brittle->newest.is_brittle)
		return;
	if (brittle->borrowed > 0)
		brittle->borrowed--;
	brittle->pause_ms = CLAMP(brittle->pause_ms * 2, PAUSE_MIN_MS, PAUSE_MAX_MS);
	brittle->paused_until_ms = now_ms + brittle->pause_ms;
	brittle->rejected_ms = now_ms;
	if (taken >= 0)
		brittle->room = MAX(taken, 1);
}

void cw_brittle_record_answer(struct cw_brittle *brittle, int64_t now_ms)
{
	if (now_ms >= brittle->paused_until_ms)
		brittle->pause_ms = 0;
	if (brittle->borrowed == 0)
		return;
	brittle->borrowed--;
	brittle->tokens = MIN(tokens_at(brittle, now_ms) + 1, 1);
	brittle->filled_ms = now_ms;
}

void cw_brittle_record_down(struct cw_brittle *brittle, int64_t now_ms)
{
	brittle->ramp_from_ms = now_ms;
	brittle->borrowed = 0;
}

int cw_brittle_explains_fall(const struct cw_brittle *brittle, const struct cw_brittle_load *load,
			     int64_t now_ms)
{
	if (!brittle->newest.is_brittle)
		return 0;
	if (brittle->rejected_ms && now_ms - brittle->rejected_ms < EXPLAINED_MS)
		return 1;
	return load->slots > 0 && load->all >= load->slots;
}

/* What the server is expected to have room for: less after a rejection, and while it comes back. */
static double places(const struct cw_brittle *brittle, const struct cw_brittle_load *load,
		     int64_t now_ms)
{
	double all = load->slots ? load->slots : DEFAULT_SLOTS;

	if (brittle->room > 0)
		all = MIN(all, brittle->room + room_regained(brittle, now_ms));
	if (brittle->ramp_from_ms && now_ms - brittle->ramp_from_ms < RAMP_MS)
		all *= RAMP_PART +
		       (1 - RAMP_PART) * (double)(now_ms - brittle->ramp_from_ms) / RAMP_MS;
	return all * (brittle->place.may_be_split ? SPLIT_PART : 1);
}

/* One place after the other: each may be one too many. */
static double room_regained(const struct cw_brittle *brittle, int64_t now_ms)
{
	return (double)MAX((now_ms - brittle->rejected_ms - LESS_ROOM_MS) / REGAIN_MS, 0);
}

static double instances(const struct cw_brittle *brittle)
{
	return brittle->place.instances ? (double)brittle->place.instances : UNKNOWN_INSTANCES;
}

/* The requests of a server may end at once, and then it looks idle: the most of some time counts.
 */
static void note_peak(struct cw_brittle *brittle, const struct cw_brittle_load *load,
		      int64_t now_ms)
{
	if (now_ms - brittle->period_ms >= PEAK_MS) {
		brittle->peaks[1] =
			now_ms - brittle->period_ms < 2 * PEAK_MS ? brittle->peaks[0] : load->all;
		brittle->peaks[0] = load->all;
		brittle->period_ms = now_ms;
	}
	brittle->peaks[0] = MAX(brittle->peaks[0], load->all);
}

static double peak(const struct cw_brittle *brittle)
{
	return MAX(brittle->peaks[0], brittle->peaks[1]);
}

/*
 * Load pattern: the server seems full to all instances for a while. If each saved up a turn
 * meanwhile, all would send when it seems free. So the turns begin then, each instance's at another
 * time.
 */
static void restart_turns(struct cw_brittle *brittle, const struct cw_brittle_load *load,
			  double all_places, int64_t now_ms)
{
	double phase = fmod((double)brittle->place.rank * INVERSE_GOLDEN, 1);

	refill(brittle, load, now_ms);
	if (peak(brittle) > TURN_PART * all_places)
		brittle->sends = phase;
	if (all_places - peak(brittle) < FREE_MIN)
		brittle->tokens = MIN(brittle->tokens, phase);
}

/* Whole places; what remains goes to the first ranks. */
static unsigned int own_places(const struct cw_brittle *brittle, double all_places)
{
	unsigned int whole = (unsigned int)(all_places / instances(brittle));
	double remaining = all_places - whole * instances(brittle);

	if (brittle->place.instances == 0)
		return whole;
	return whole + ((double)brittle->place.rank + 1 <= remaining);
}

/* Without a place an instance sends now and then, while the server is half idle. */
static int may_send_in_turn(const struct cw_brittle *brittle, const struct cw_brittle_load *load,
			    double all_places, int64_t now_ms)
{
	return sends_at(brittle, load, now_ms) >= 1 && peak(brittle) <= TURN_PART * all_places;
}

static int may_borrow(const struct cw_brittle *brittle, double all_places, int64_t now_ms)
{
	return brittle->place.instances > 0 && tokens_at(brittle, now_ms) >= 1 &&
	       all_places - peak(brittle) >= FREE_MIN;
}

static double sends_per_s(const struct cw_brittle *brittle, const struct cw_brittle_load *load,
			  int64_t now_ms)
{
	double work_ms = load->service_ms > 0 ? load->service_ms : DEFAULT_WORK_MS;
	double all = places(brittle, load, now_ms);
	/* Requests that come at random must rarely be more than fit. */
	double used = MAX(all - BURST_ROOM * sqrt(all), all / 4);

	return used / instances(brittle) * MS_PER_S / work_ms;
}

static void refill(struct cw_brittle *brittle, const struct cw_brittle_load *load, int64_t now_ms)
{
	brittle->sends = sends_at(brittle, load, now_ms);
	brittle->tokens = tokens_at(brittle, now_ms);
	brittle->filled_ms = now_ms;
}

/* At most one rejection is saved up: many at once make the server fall. */
static double tokens_at(const struct cw_brittle *brittle, int64_t now_ms)
{
	double per_s = TOLERATED_PART * brittle->newest.tolerated_per_s / instances(brittle);

	return MIN(brittle->tokens + per_s * (double)(now_ms - brittle->filled_ms) / MS_PER_S, 1);
}

static double sends_at(const struct cw_brittle *brittle, const struct cw_brittle_load *load,
		       int64_t now_ms)
{
	double gained = sends_per_s(brittle, load, now_ms) * (double)(now_ms - brittle->filled_ms) /
			MS_PER_S;

	return MIN(brittle->sends + gained, 1);
}
