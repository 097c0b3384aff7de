/* Schemas: a table for each struct with the name, offset, type, default and bounds of its members. The
 * table drives the CBOR codec of frames and records, the JSON form, defaults, copying and freeing.
 * CBOR is a positional array: added fields go at the end, older readers ignore them, missing ones
 * are 0. */
#ifndef SAGEHITCH_SCHEMA_H
#define SAGEHITCH_SCHEMA_H
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/bytes.h"

enum field_kind {
    F_INT,   /* int64_t */
    F_BOOL,  /* int64_t, true or false outwards */
    F_STR,   /* char *, owned, may be NULL */
    F_BYTES, /* struct bytes, never outwards */
    F_STRS,  /* char **, owned, with a count */
    F_INTS,  /* int64_t *, owned, with a count */
    F_LIST,  /* items of a sub schema, owned, with a count */
    F_SUB,   /* a sub schema inline */
    F_PTR    /* a sub schema owned through a pointer, may be NULL */
};

enum field_flag {
    FF_REQUIRED = 1,    /* must be there in JSON */
    FF_INTERNAL = 2,    /* neither taken from nor shown as JSON */
    FF_UPPER_BOUND = 4, /* a child in the tree may lower it, never raise it */
    FF_ROOT_ONLY = 8    /* only the root of the tree may set it */
};

/* A member. count_off is the offset of the count of a list. Invariant: offsets lie inside the struct the schema
 * describes; counts are int64_t. min == max == 0 means no bound (for F_STR: on the length).
 *
 * kinds is for members of a tagged union: one bit for each value of the struct's kind under which the member is there;
 * 0: always. The schema is then defined by SCHEMA_TAGGED, and the kind is the struct's first member, an int64_t, and
 * the first field. In the CBOR array an absent member has its place, with the empty value of its type (0, null, an
 * empty list); on reading it is skipped, and nothing touches its bytes in the struct. Such schemas have no JSON form.
 */
struct field {
    const char *name;
    enum field_kind kind;
    size_t off, count_off;
    const struct schema *sub;
    unsigned flags;
    int64_t default_value, min, max;
    const char *default_str;
    uint64_t kinds;
};

/* The members of struct name, in the order of their CBOR array. */
struct schema {
    const char *name;
    size_t size;
    const struct field *fields;
    int n;
    int tagged; /* a tagged union: its fields may have kinds */
};

/* The bit of one kind in field.kinds; and for a member that no kind has, whose place in the array is kept. */
#define KIND_BIT(KIND) (UINT64_C(1) << (KIND))
#define KINDS_NONE KIND_BIT(63)

/* Defines the schema NAME of struct TYPE from an array of fields; SCHEMA_TAGGED for fields with kinds. */
#define SCHEMA(NAME, TYPE, FIELDS) \
    const struct schema NAME = {.name = #TYPE, .size = sizeof(struct TYPE), .fields = (FIELDS), .n = COUNT_OF(FIELDS)}
#define SCHEMA_TAGGED(NAME, TYPE, FIELDS) \
    const struct schema NAME = {          \
        .name = #TYPE, .size = sizeof(struct TYPE), .fields = (FIELDS), .n = COUNT_OF(FIELDS), .tagged = 1}
/* NAME is the outer name, in JSON and settings; where it is left out it is the member's own. */
#define INT_NAMED(T, M, NAME, ...)                                             \
    {                                                                          \
        .name = NAME, .kind = F_INT, .off = offsetof(struct T, M), __VA_ARGS__ \
    }
#define INT(T, M, ...) INT_NAMED(T, M, #M, __VA_ARGS__)
#define BOOL_NAMED(T, M, NAME, ...)                                             \
    {                                                                           \
        .name = NAME, .kind = F_BOOL, .off = offsetof(struct T, M), __VA_ARGS__ \
    }
#define BOOL(T, M, ...) BOOL_NAMED(T, M, #M, __VA_ARGS__)
#define STR_NAMED(T, M, NAME, ...)                                             \
    {                                                                          \
        .name = NAME, .kind = F_STR, .off = offsetof(struct T, M), __VA_ARGS__ \
    }
#define STR(T, M, ...) STR_NAMED(T, M, #M, __VA_ARGS__)
#define BYTES_NAMED(T, M, NAME, ...)                                                                   \
    {                                                                                                  \
        .name = NAME, .kind = F_BYTES, .off = offsetof(struct T, M), .flags = FF_INTERNAL, __VA_ARGS__ \
    }
#define BYTES(T, M, ...) BYTES_NAMED(T, M, #M, __VA_ARGS__)
#define STRS_NAMED(T, M, NAME, N, ...)                                                                              \
    {                                                                                                               \
        .name = NAME, .kind = F_STRS, .off = offsetof(struct T, M), .count_off = offsetof(struct T, N), __VA_ARGS__ \
    }
#define STRS(T, M, N, ...) STRS_NAMED(T, M, #M, N, __VA_ARGS__)
#define INTS_NAMED(T, M, NAME, N, ...)                                                                              \
    {                                                                                                               \
        .name = NAME, .kind = F_INTS, .off = offsetof(struct T, M), .count_off = offsetof(struct T, N), __VA_ARGS__ \
    }
#define INTS(T, M, N, ...) INTS_NAMED(T, M, #M, N, __VA_ARGS__)
#define LIST_NAMED(T, M, NAME, N, S, ...)                                                                          \
    {                                                                                                              \
        .name = NAME, .kind = F_LIST, .off = offsetof(struct T, M), .count_off = offsetof(struct T, N), .sub = &S, \
        __VA_ARGS__                                                                                                \
    }
#define LIST(T, M, N, S, ...) LIST_NAMED(T, M, #M, N, S, __VA_ARGS__)
#define SUB_NAMED(T, M, NAME, S, ...)                                                     \
    {                                                                                     \
        .name = NAME, .kind = F_SUB, .off = offsetof(struct T, M), .sub = &S, __VA_ARGS__ \
    }
#define SUB(T, M, S, ...) SUB_NAMED(T, M, #M, S, __VA_ARGS__)
#define PTR_NAMED(T, M, NAME, S, ...)                                                     \
    {                                                                                     \
        .name = NAME, .kind = F_PTR, .off = offsetof(struct T, M), .sub = &S, __VA_ARGS__ \
    }
#define PTR(T, M, S, ...) PTR_NAMED(T, M, #M, S, __VA_ARGS__)

/* What was wrong with a JSON body and where. */
struct validation_error {
    int error;
    char path[160];
    char expected[120];
};

/* Appends the CBOR form of from to to. */
void schema_pack(const struct schema *schema, const void *from, struct bytes *to);
/* Reads the CBOR form; to must be zeroed and then owns what it points to. Returns 0 or
 * ERROR_BAD_FRAME, with to freed. */
enum sagehitch_error schema_unpack(const struct schema *schema, void *to, const uint8_t *at, int64_t len);
/* Frees what the struct owns, not the struct. */
void schema_free(const struct schema *schema, void *what);
/* A deep copy. */
void schema_copy(const struct schema *schema, void *to, const void *from);
/* Sets all members to their defaults, or 0; frees nothing that to may own. */
void schema_defaults(const struct schema *schema, void *to);

/* The JSON form, as an object (the caller's to json_decref()) and as text (the caller's to free()). */
json_t *schema_to_json(const struct schema *schema, const void *from);
char *schema_to_text(const struct schema *schema, const void *from);
/* Read and check a JSON object. partial: members the body does not name stay as they are; else defaults are
 * set first. Return 0 or an error, with validation_error filled in. */
int schema_from_json(const struct schema *schema, void *to, const json_t *body, int partial,
                     struct validation_error *validation_error);
enum sagehitch_error schema_from_text(const struct schema *schema, void *to, const char *text, int64_t len,
                                      struct validation_error *validation_error);
/* The member with this outer name, or NULL. */
const struct field *schema_field(const struct schema *schema, const char *name);

/* Fill in a validation error (may be NULL) and return error; texts are cut to fit. path: printf() format of the path of
 * the member at fault; at and name: the two parts of its path. */
enum sagehitch_error validation_error_set(struct validation_error *validation_error, enum sagehitch_error error,
                                          const char *expected, const char *path, ...)
    __attribute__((format(printf, 4, 5)));
enum sagehitch_error validation_error_named(struct validation_error *validation_error, enum sagehitch_error error,
                                            const char *at, const char *name, const char *expected);
#endif
