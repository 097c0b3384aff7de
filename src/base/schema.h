/* Schemas: a table for each struct with the name, offset, type, default and bounds of its members. The table drives the
 * CBOR codec of frames and records, the JSON form, defaults, copying and freeing. The CBOR form is a positional array:
 * new fields are added at the end, older readers ignore them, and missing ones are read as 0. */
#ifndef SAGEHITCH_SCHEMA_H
#define SAGEHITCH_SCHEMA_H
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/bytes.h"

enum field_kind {
    F_INT,   /* int64_t */
    F_BOOL,  /* int64_t, true or false in JSON */
    F_STR,   /* char *, owned, may be NULL */
    F_BYTES, /* struct bytes, never in JSON */
    F_STRS,  /* char **, owned, with a count */
    F_INTS,  /* int64_t *, owned, with a count */
    F_LIST,  /* array of structs of schema sub, owned, with a count */
    F_SUB,   /* an embedded struct of schema sub */
    F_PTR    /* a pointer to a struct of schema sub, owned, may be NULL */
};

enum field_flag {
    FF_REQUIRED = 1,    /* required in JSON */
    FF_INTERNAL = 2,    /* neither read from nor written to JSON */
    FF_UPPER_BOUND = 4, /* a branch of the configuration tree may lower the inherited value, never raise it */
    FF_ROOT_ONLY = 8    /* only the root of the configuration tree may set it */
};

/* A member of a struct. off: its offset; count_off: offset of the count of a list. Invariant: offsets lie inside the
 * struct that the schema describes; counts are int64_t. min == max == 0 means no bounds (for F_STR: of the length).
 *
 * kinds is for members of a tagged union: one bit for each value of the struct's kind that has the member; 0: all
 * kinds. The schema is then defined by SCHEMA_TAGGED, and the kind is the struct's first member, an int64_t, and the
 * first field. In the CBOR array an absent member keeps its position with the empty value of its type (0, null, an
 * empty list); on reading it is skipped, and its bytes in the struct are not accessed. Such schemas have no JSON form.
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

/* The bit of one kind in field.kinds. KINDS_NONE: no kind has the member any more, but its position in the array is
 * kept. */
#define KIND_BIT(KIND) (UINT64_C(1) << (KIND))
#define KINDS_NONE KIND_BIT(63)

/* Defines the schema NAME of struct TYPE from an array of fields; SCHEMA_TAGGED if the fields have kinds. */
#define SCHEMA(NAME, TYPE, FIELDS) \
    const struct schema NAME = {.name = #TYPE, .size = sizeof(struct TYPE), .fields = (FIELDS), .n = COUNT_OF(FIELDS)}
#define SCHEMA_TAGGED(NAME, TYPE, FIELDS) \
    const struct schema NAME = {          \
        .name = #TYPE, .size = sizeof(struct TYPE), .fields = (FIELDS), .n = COUNT_OF(FIELDS), .tagged = 1}
/* Fields of struct T for its member M. NAME is the external name in JSON and settings; the macros without it use the
 * name of the member. N: the member with the count; S: the schema of the items. */
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

/* What is wrong with a JSON body, and where. */
struct validation_error {
    int error;
    char path[160];
    char expected[120];
};

/* Appends the CBOR form of from. */
void schema_pack(const struct schema *schema, const void *from, struct bytes *to);
/* Reads the CBOR form; to must be zeroed and then owns what it points to. On ERROR_BAD_FRAME its contents are freed. */
enum sagehitch_error schema_unpack(const struct schema *schema, void *to, const uint8_t *at, int64_t len);
/* Frees what the struct owns, not the struct itself. */
void schema_free(const struct schema *schema, void *what);
/* Makes a deep copy; what to owned before is not freed. */
void schema_copy(const struct schema *schema, void *to, const void *from);
/* Sets all members to their defaults, or 0; what to owned before is not freed. */
void schema_defaults(const struct schema *schema, void *to);

/* Return the JSON form as an object (the caller must json_decref() it) and as text (the caller must free() it). */
json_t *schema_to_json(const struct schema *schema, const void *from);
char *schema_to_text(const struct schema *schema, const void *from);
/* Read and check a JSON object. partial: members that the body does not contain stay unchanged; otherwise defaults are
 * set first. Return 0 or an error, with validation_error filled in. */
int schema_from_json(const struct schema *schema, void *to, const json_t *body, int partial,
                     struct validation_error *validation_error);
enum sagehitch_error schema_from_text(const struct schema *schema, void *to, const char *text, int64_t len,
                                      struct validation_error *validation_error);
/* The member with this external name, or NULL. */
const struct field *schema_field(const struct schema *schema, const char *name);

/* Fill in a validation error (may be NULL) and return error; texts are truncated to fit. path: printf() format of the
 * path of the invalid member; at and name: the two parts of its path. */
enum sagehitch_error validation_error_set(struct validation_error *validation_error, enum sagehitch_error error,
                                          const char *expected, const char *path, ...)
    __attribute__((format(printf, 4, 5)));
enum sagehitch_error validation_error_named(struct validation_error *validation_error, enum sagehitch_error error,
                                            const char *at, const char *name, const char *expected);
#endif
