/* The memory that a JSON text takes once jansson has read it. */
#ifndef SAGEHITCH_JSON_MEMORY_H
#define SAGEHITCH_JSON_MEMORY_H
#include <stdint.h>

/* Returns an upper bound of the bytes that reading a text of len bytes takes, which need not be valid JSON. Sizes are
 * those of jansson 2.14 on 64-bit machines, with glibc's malloc. */
int64_t json_memory_estimate(const char *text, int64_t len);
#endif
