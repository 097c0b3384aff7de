/* Byte strings, memory allocation, numbers, hashes and addresses. */
#include "base/bytes.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

struct blob *blob_new(void)
{
    struct blob *blob = must_alloc(sizeof *blob);
    blob->refs = 1;
    return blob;
}

struct blob *blob_hold(struct blob *blob)
{
    blob->refs++;
    return blob;
}

void blob_drop(struct blob *blob)
{
    if (!blob || --blob->refs > 0)
        return;
    bytes_free(&blob->bytes);
    free(blob);
}

void *must_alloc(size_t size)
{
    void *at = calloc(1, size ? size : 1);
    if (!at)
        abort();
    return at;
}

void *must_grow(void *at, size_t size)
{
    void *to = realloc(at, size ? size : 1);
    if (!to)
        abort();
    return to;
}

char *must_dup(const char *text)
{
    if (!text)
        return NULL;
    size_t len = strlen(text) + 1;
    return memcpy(must_alloc(len), text, len);
}

/* Formats into heap memory, which the caller must free(); aborts the process if memory runs out. */
static char *must_vprintf(const char *format, va_list args)
{
    char *text = NULL;
    if (vasprintf(&text, format, args) < 0)
        abort();
    return text;
}

char *must_printf(const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = must_vprintf(format, args);
    va_end(args);
    return text;
}

void bytes_add(struct bytes *to, const void *from, int64_t len)
{
    if (to->len + len + 1 > to->cap) {
        to->cap = (to->len + len + 1) * 2;
        to->at = must_grow(to->at, (size_t)to->cap);
    }
    if (len)
        memcpy(to->at + to->len, from, (size_t)len);
    to->len += len;
    to->at[to->len] = 0;
}

void bytes_reserve(struct bytes *bytes, int64_t cap)
{
    if (cap + 1 <= bytes->cap)
        return;
    bytes->cap = cap + 1;
    bytes->at = must_grow(bytes->at, (size_t)bytes->cap);
}

void bytes_printf(struct bytes *to, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = must_vprintf(format, args);
    va_end(args);
    bytes_add(to, text, (int64_t)strlen(text));
    free(text);
}

void bytes_free(struct bytes *bytes)
{
    free(bytes->at);
    *bytes = (struct bytes){0};
}

void bytes_copy(struct bytes *to, const struct bytes *from)
{
    *to = (struct bytes){0};
    if (from->len)
        bytes_add(to, from->at, from->len);
}

void le_put(uint8_t *at, uint64_t v, int n)
{
    for (int i = 0; i < n; i++)
        at[i] = (uint8_t)(v >> (8 * i));
}

uint64_t le_get(const uint8_t *at, int n)
{
    uint64_t v = 0;
    for (int i = 0; i < n; i++)
        v |= (uint64_t)at[i] << (8 * i);
    return v;
}

uint32_t crc_of(const void *at, int64_t len) { return (uint32_t)crc32(crc32(0, NULL, 0), at, (uInt)len); }

static uint64_t scramble(uint64_t x)
{
    x ^= x >> 33;
    x *= 0xff51afd7ed558ccdull;
    x ^= x >> 33;
    x *= 0xc4ceb9fe1a85ec53ull;
    return x ^ (x >> 33);
}

/* a is mixed before b is added, so that pairs of small numbers do not collide */
uint64_t hash_mix(uint64_t a, uint64_t b) { return scramble(scramble(a + 0x9e3779b97f4a7c15ull) ^ b); }

uint64_t hash_of(const void *at, int64_t len)
{
    const uint8_t *p = at;
    uint64_t h = 0xcbf29ce484222325ull;
    for (int64_t i = 0; i < len; i++)
        h = (h ^ p[i]) * 0x100000001b3ull;
    return hash_mix(h, (uint64_t)len);
}

uint64_t hash_text(const char *text) { return hash_of(text ? text : "", text ? (int64_t)strlen(text) : 0); }

int64_t text_to_int64(const char *text) { return strtoll(text, NULL, 10); }

uint64_t addr_parse(const char *text)
{
    char ip[32];
    const char *colon = text ? strrchr(text, ':') : NULL;
    if (!colon || colon == text || (size_t)(colon - text) >= sizeof ip)
        return 0;
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = 0;
    char *end;
    long port = strtol(colon + 1, &end, 10);
    struct in_addr in;
    if (*end || end == colon + 1 || port < 1 || port > 65535 || inet_pton(AF_INET, ip, &in) != 1)
        return 0;
    return ((uint64_t)ntohl(in.s_addr) << 16) | (uint64_t)port;
}

const char *addr_text(uint64_t addr)
{
    static char texts[8][32];
    static int next;
    char *text = texts[next++ & 7];
    uint32_t ip = (uint32_t)(addr >> 16);
    snprintf(text, 32, "%u.%u.%u.%u:%u", ip >> 24, (ip >> 16) & 255, (ip >> 8) & 255, ip & 255,
             (unsigned)(addr & 0xffff));
    return text;
}
