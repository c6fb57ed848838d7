#include "cw_hash.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define FRACTION_SHIFT_BITS 11 /* a double holds 53 of the 64 bits */
#define FRACTION_RANGE	    ((double)(1ULL << 53))

uint64_t cw_hash(const void *data, size_t size, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, size, seed);
}

uint64_t cw_hash_text(const char *text, uint64_t seed)
{
	return XXH3_64bits_withSeed(text, strlen(text), seed);
}

double cw_hash_to_fraction(uint64_t bits)
{
	return (double)(bits >> FRACTION_SHIFT_BITS) / FRACTION_RANGE;
}

uint64_t cw_rendezvous_hash(uint64_t key, uint64_t candidate)
{
	return cw_hash(&key, sizeof(key), candidate);
}

/*
 * Weighted rendezvous hashing: the score is -weight / ln(u), u uniform in (0, 1) from key and
 * candidate. Shares are proportional to weights, and a changed weight moves the fewest keys.
 */
double cw_rendezvous_score(uint64_t key, uint64_t candidate, double weight)
{
	uint64_t mixed = cw_rendezvous_hash(key, candidate);
	double u = cw_hash_to_fraction(mixed) + 0.5 / FRACTION_RANGE;

	return weight > 0 ? -weight / log(u) : 0;
}

void cw_sha256_hex(const void *data, size_t size, char hex[CW_SHA256_HEX])
{
	uint8_t digest[32];

	gnutls_hash_fast(GNUTLS_DIG_SHA256, data, size, digest);
	for (int i = 0; i < 32; i++)
		snprintf(hex + (size_t)i * 2, 3, "%02x", digest[i]);
}

void cw_sign(const uint8_t key[CW_KEY_BYTES], const void *data, size_t size, uint8_t mac[32])
{
	gnutls_hmac_fast(GNUTLS_MAC_SHA256, key, CW_KEY_BYTES, data, size, mac);
}

int cw_signature_matches(const uint8_t key[CW_KEY_BYTES], const void *data, size_t size,
			 const uint8_t mac[32])
{
	uint8_t expected[32];

	cw_sign(key, data, size, expected);
	return gnutls_memcmp(expected, mac, 32) == 0;
}

int cw_hex_decode(const char *hex, uint8_t *bytes, size_t size)
{
	if (strlen(hex) != size * 2)
		return -1;
	for (size_t i = 0; i < size; i++) {
		int high = g_ascii_xdigit_value(hex[2 * i]);
		int low = g_ascii_xdigit_value(hex[2 * i + 1]);

		if (high < 0 || low < 0)
			return -1;
		bytes[i] = (uint8_t)(high * 16 + low);
	}
	return 0;
}

void cw_random_bytes(void *bytes, size_t size)
{
	gnutls_rnd(GNUTLS_RND_NONCE, bytes, size);
}
