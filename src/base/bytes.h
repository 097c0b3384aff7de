/* Growing byte strings, memory that never fails, checksums, hashes and addresses. All modules use them.
 * Functions that allocate end the process when there is no memory, so none of them returns an error. */
#ifndef SAGEHITCH_BYTES_H
#define SAGEHITCH_BYTES_H
#include <stddef.h>
#include <stdint.h>

/* A growing byte string; all zero is the empty one. Owned by the holder of the struct; at is NULL or heap memory of cap
 * bytes, len <= cap, and at[len] is 0 once anything was added. */
struct bytes {
    uint8_t *at;
    int64_t len;
    int64_t cap;
};

/* Bytes with several owners (a frame sent to many is built once), by reference count.
 * Invariant: refs counts the owners. blob_new() makes the caller one; a function that keeps a
 * blob beyond its call takes a reference by blob_hold(); each owner ends by blob_drop(). */
struct blob {
    int64_t refs;
    struct bytes bytes;
};

/* An empty blob with one reference, the caller's. */
struct blob *blob_new(void);
/* Adds a reference; returns blob. */
struct blob *blob_hold(struct blob *blob);
/* Drops a reference; the last one frees the bytes and the blob. */
void blob_drop(struct blob *blob);

/* Zeroed memory of size bytes, the caller's to free(). */
void *must_alloc(size_t size);
/* realloc(): moves at (may be NULL) to size bytes; what is new is not zeroed. */
void *must_grow(void *at, size_t size);
/* A copy of text, the caller's to free(); NULL for NULL. */
char *must_dup(const char *text);
/* The printed text, the caller's to free(). */
char *must_printf(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Appends len bytes; from may not lie within to. */
void bytes_add(struct bytes *to, const void *from, int64_t len);
/* Appends the printed text. */
void bytes_printf(struct bytes *to, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* Frees the memory and makes the string empty. */
void bytes_free(struct bytes *bytes);
/* Makes to a copy of from; to must be empty. */
void bytes_copy(struct bytes *to, const struct bytes *from);

/* Writes and reads the lowest n bytes (at most 8) of a number in little-endian order. */
void le_put(uint8_t *at, uint64_t v, int n);
uint64_t le_get(const uint8_t *at, int n);

/* CRC-32 (zlib) of len bytes. */
uint32_t crc_of(const void *at, int64_t len);
/* 64-bit hashes of bytes, of a text (NULL counts as empty) and of two numbers. Not cryptographic; the
 * same in every process, so they may be stored and sent. */
uint64_t hash_of(const void *at, int64_t len);
uint64_t hash_text(const char *text);
uint64_t hash_mix(uint64_t a, uint64_t b);

/* The decimal number that text starts with, saturated; 0 where there is none. Those who
 * must tell a wrong number from 0 call strtoll() and look where it ended. */
int64_t text_to_int64(const char *text);

/* An address is IPv4 and port in one number. addr_parse() returns 0 where text is not IP:PORT. */
uint64_t addr_parse(const char *text);
/* IP:PORT in one of a few static buffers, overwritten by later calls. */
const char *addr_text(uint64_t addr);

/* Grows the array items of n by one zeroed item and returns a pointer to it; older pointers into the
 * array are no longer valid. */
#define array_add(items, n)                                                                                        \
    ((items) = must_grow((items), sizeof *(items) * (size_t)((n) + 1)), memset(&(items)[(n)], 0, sizeof *(items)), \
     &(items)[(n)++])
/* The number of items of an array (not of a pointer). */
#define COUNT_OF(a) ((int)(sizeof(a) / sizeof((a)[0])))
#endif
