/* Hashes, rendezvous scores, signatures: thin names over xxhash and GnuTLS. */
#ifndef CW_HASH_H
#define CW_HASH_H

#include <stddef.h>
#include <stdint.h>

#define CW_SHA256_HEX 65 /* bytes of a SHA-256 in hex, with its end */
#define CW_KEY_BYTES  32 /* bytes of a signing key */

uint64_t cw_hash(const void *data, size_t size, uint64_t seed);
uint64_t cw_hash_text(const char *text, uint64_t seed);
double cw_hash_part(uint64_t bits); /* 0 to below 1, of a hash or a random number */
uint64_t
cw_rendezvous_bits(uint64_t key,
		   uint64_t candidate); /* orders candidates of weight 1 alike, and faster */
double cw_rendezvous(uint64_t key, uint64_t candidate,
		     double weight); /* the highest score wins; weight 0: never */
void cw_sha256_hex(const void *data, size_t size, char hex[CW_SHA256_HEX]);
void cw_sign(const uint8_t key[CW_KEY_BYTES], const void *data, size_t size, uint8_t mac[32]);
int cw_signature_matches(const uint8_t key[CW_KEY_BYTES], const void *data, size_t size,
			 const uint8_t mac[32]);
int cw_hex_decode(const char *hex, uint8_t *bytes,
		  size_t size);			/* 0: done; -1: not size bytes of hex */
void cw_random_bytes(void *bytes, size_t size); /* for keys and ids, never for decisions */

#endif
