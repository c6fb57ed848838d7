/* Hashes, rendezvous hashing and signatures: thin wrappers of xxhash and GnuTLS. */
#ifndef CW_HASH_H
#define CW_HASH_H

#include <stddef.h>
#include <stdint.h>

#define CW_SHA256_HEX 65 /* bytes of a SHA-256 in hex, NUL included */
#define CW_KEY_BYTES  32 /* bytes of a signing key */

uint64_t cw_hash(const void *data, size_t size, uint64_t seed);
uint64_t cw_hash_text(const char *text, uint64_t seed);
double cw_hash_to_fraction(uint64_t bits); /* maps a hash or a random number to [0, 1) */
uint64_t cw_rendezvous_hash(
	uint64_t key,
	uint64_t candidate); /* faster; same order as cw_rendezvous_score with weight 1 */
double cw_rendezvous_score(uint64_t key, uint64_t candidate,
			   double weight); /* highest score wins; 0 for weight 0 */
void cw_sha256_hex(const void *data, size_t size, char hex[CW_SHA256_HEX]);
void cw_sign(const uint8_t key[CW_KEY_BYTES], const void *data, size_t size, uint8_t mac[32]);
int cw_signature_matches(const uint8_t key[CW_KEY_BYTES], const void *data, size_t size,
			 const uint8_t mac[32]);
int cw_hex_decode(const char *hex, uint8_t *bytes,
		  size_t size);			/* -1: not exactly size bytes in hex */
void cw_random_bytes(void *bytes, size_t size); /* for keys, ids and seeds, not for routing */

#endif
