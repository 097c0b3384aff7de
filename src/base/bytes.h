/* Growing byte strings, memory allocation, checksums, hashes and addresses, used by all modules. Functions that
 * allocate abort the process if memory runs out, so none of them returns an error. */
#ifndef SAGEHITCH_BYTES_H
#define SAGEHITCH_BYTES_H
#include <stddef.h>
#include <stdint.h>

/* A growing byte string; zero-initialized it is empty. The struct owns at, which is NULL or heap memory of cap bytes.
 * Invariant: len <= cap, and at[len] is 0 once anything was added. */
struct bytes {
    uint8_t *at;
    int64_t len;
    int64_t cap;
};

/* Reference-counted bytes, so that a frame to several receivers is built once. Invariant: refs is the number of owners.
 * The caller of blob_new() is one; a function that keeps a blob beyond its call takes a reference by blob_hold(); each
 * owner releases its reference by blob_drop(). */
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

/* Returns size bytes of zeroed memory, which the caller must free(). */
void *must_alloc(size_t size);
/* As realloc(): resizes at (may be NULL) to size bytes. Added bytes are not zeroed. */
void *must_grow(void *at, size_t size);
/* Returns a copy of text, which the caller must free(); NULL for NULL. */
char *must_dup(const char *text);
/* Returns the formatted text, which the caller must free(). */
char *must_printf(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Appends len bytes; from must not point into to. */
void bytes_add(struct bytes *to, const void *from, int64_t len);
/* Makes room for cap bytes in all, and the 0 byte after them, so that adding up to that many allocates nothing. */
void bytes_reserve(struct bytes *bytes, int64_t cap);
/* Appends the formatted text. */
void bytes_printf(struct bytes *to, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* Frees the memory and empties the string. */
void bytes_free(struct bytes *bytes);
/* Copies from to to, which must be empty. */
void bytes_copy(struct bytes *to, const struct bytes *from);

/* Write and read the lowest n bytes (at most 8) of a number in little-endian order. */
void le_put(uint8_t *at, uint64_t v, int n);
uint64_t le_get(const uint8_t *at, int n);

/* CRC-32 (zlib) of len bytes. */
uint32_t crc_of(const void *at, int64_t len);
/* 64-bit hashes of bytes, of a text (NULL counts as empty) and of two numbers. Not cryptographic. They are equal in
 * every process, so they may be stored and sent. */
uint64_t hash_of(const void *at, int64_t len);
uint64_t hash_text(const char *text);
uint64_t hash_mix(uint64_t a, uint64_t b);

/* Returns the decimal number at the start of text, saturated, or 0 if there is none. To detect invalid input, call
 * strtoll() and check its end pointer instead. */
int64_t text_to_int64(const char *text);

/* An address is an IPv4 address and a port in one number. addr_parse() returns 0 if text is not IP:PORT. */
uint64_t addr_parse(const char *text);
/* Returns IP:PORT in one of 8 static buffers, which later calls overwrite. */
const char *addr_text(uint64_t addr);

/* Appends a zeroed item to the array items of n items and returns a pointer to it. Earlier pointers into the array
 * become invalid. */
#define array_add(items, n)                                                                                        \
    ((items) = must_grow((items), sizeof *(items) * (size_t)((n) + 1)), memset(&(items)[(n)], 0, sizeof *(items)), \
     &(items)[(n)++])
/* The number of items of an array (not of a pointer). */
#define COUNT_OF(a) ((int)(sizeof(a) / sizeof((a)[0])))
#endif
