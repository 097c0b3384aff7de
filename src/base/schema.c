/* Schemas: packing to CBOR, unpacking, copying and freeing. */
#include "base/schema.h"

#include <cbor.h>
#include <stdlib.h>
#include <string.h>

#include "base/error.h"

/* DEPTH_MAX: decoding fails at this depth of nesting; no schema is nested as deep. ADDED_MAX: fields that a newer
 * version may have added to a schema. */
enum { DEPTH_MAX = 12, ADDED_MAX = 64, KINDS_MAX = 63 };

static void *at_off(const void *base, size_t off) { return (char *)(uintptr_t)base + off; }
static int64_t *count_at(const struct field *field, const void *base) { return at_off(base, field->count_off); }

/* Whether the struct's kind has this member of a tagged union. */
static int is_present(const struct field *field, const void *base)
{
    int64_t kind = *(const int64_t *)base;
    return !field->kinds || (kind >= 0 && kind < KINDS_MAX && (field->kinds & KIND_BIT(kind)));
}

/* --- packing ------------------------------------------------------------ */

typedef size_t encode_start(size_t, unsigned char *, size_t);

static void put_head(struct bytes *to, encode_start *encode, uint64_t value)
{
    unsigned char head[9];
    bytes_add(to, head, (int64_t)encode((size_t)value, head, sizeof head));
}

static size_t encode_uint(size_t v, unsigned char *b, size_t n) { return cbor_encode_uint((uint64_t)v, b, n); }
static size_t encode_neg(size_t v, unsigned char *b, size_t n) { return cbor_encode_negint((uint64_t)v, b, n); }

static void put_int(struct bytes *to, int64_t value)
{
    if (value >= 0)
        put_head(to, encode_uint, (uint64_t)value);
    else
        put_head(to, encode_neg, (uint64_t)(-1 - value));
}

static void put_null(struct bytes *to)
{
    unsigned char head[2];
    bytes_add(to, head, (int64_t)cbor_encode_null(head, sizeof head));
}

static void put_str(struct bytes *to, const char *text)
{
    if (!text) {
        put_null(to);
        return;
    }
    int64_t len = (int64_t)strlen(text);
    put_head(to, cbor_encode_string_start, (uint64_t)len);
    bytes_add(to, text, len);
}

static void put_list(const struct field *field, const void *from, struct bytes *to)
{
    const void *at = at_off(from, field->off);
    int64_t n = *count_at(field, from);
    put_head(to, cbor_encode_array_start, (uint64_t)n);
    for (int64_t k = 0; k < n; k++) {
        if (field->kind == F_STRS)
            put_str(to, (*(char **const *)at)[k]);
        else if (field->kind == F_INTS)
            put_int(to, (*(int64_t *const *)at)[k]);
        else
            schema_pack(field->sub, *(char *const *)at + (size_t)k * field->sub->size, to);
    }
}

static void put_empty(const struct field *field, struct bytes *to)
{
    switch (field->kind) {
    case F_INT:
    case F_BOOL: put_head(to, encode_uint, 0); break;
    case F_STR:
    case F_PTR: put_null(to); break;
    case F_BYTES: put_head(to, cbor_encode_bytestring_start, 0); break;
    case F_STRS:
    case F_INTS:
    case F_LIST: put_head(to, cbor_encode_array_start, 0); break;
    case F_SUB:
        put_head(to, cbor_encode_array_start, (uint64_t)field->sub->n);
        for (int i = 0; i < field->sub->n; i++)
            put_empty(&field->sub->fields[i], to);
        break;
    }
}

static void put_field(const struct field *field, const void *from, struct bytes *to)
{
    const void *at = at_off(from, field->off);
    switch (field->kind) {
    case F_INT:
    case F_BOOL: put_int(to, *(const int64_t *)at); break;
    case F_STR: put_str(to, *(char *const *)at); break;
    case F_BYTES: {
        const struct bytes *buffer = at;
        put_head(to, cbor_encode_bytestring_start, (uint64_t)buffer->len);
        bytes_add(to, buffer->at, buffer->len);
        break;
    }
    case F_STRS:
    case F_INTS:
    case F_LIST: put_list(field, from, to); break;
    case F_SUB: schema_pack(field->sub, at, to); break;
    case F_PTR:
        if (*(void *const *)at)
            schema_pack(field->sub, *(void *const *)at, to);
        else
            put_null(to);
        break;
    }
}

void schema_pack(const struct schema *schema, const void *from, struct bytes *to)
{
    put_head(to, cbor_encode_array_start, (uint64_t)schema->n);
    for (int i = 0; i < schema->n; i++)
        if (schema->tagged && !is_present(&schema->fields[i], from))
            put_empty(&schema->fields[i], to);
        else
            put_field(&schema->fields[i], from, to);
}

/* --- unpacking ---------------------------------------------------------- */

enum item_kind { I_NONE, I_INT, I_TEXT, I_BYTES, I_ARRAY, I_NULL };

struct item {
    enum item_kind kind;
    int64_t value; /* number, or count of an array */
    const uint8_t *at;
    int64_t len;
};

struct cursor {
    const uint8_t *at;
    int64_t left;
};

static void set_uint(struct item *item, uint64_t v)
{
    if (v <= INT64_MAX)
        *item = (struct item){.kind = I_INT, .value = (int64_t)v};
}
static void set_negint(struct item *item, uint64_t v)
{
    if (v <= INT64_MAX)
        *item = (struct item){.kind = I_INT, .value = -1 - (int64_t)v};
}
static void on_u8(void *c, uint8_t v) { set_uint(c, v); }
static void on_u16(void *c, uint16_t v) { set_uint(c, v); }
static void on_u32(void *c, uint32_t v) { set_uint(c, v); }
static void on_u64(void *c, uint64_t v) { set_uint(c, v); }
static void on_n8(void *c, uint8_t v) { set_negint(c, v); }
static void on_n16(void *c, uint16_t v) { set_negint(c, v); }
static void on_n32(void *c, uint32_t v) { set_negint(c, v); }
static void on_n64(void *c, uint64_t v) { set_negint(c, v); }
static void on_text(void *c, cbor_data at, size_t len)
{
    *(struct item *)c = (struct item){.kind = I_TEXT, .at = at, .len = (int64_t)len};
}
static void on_bytes(void *c, cbor_data at, size_t len)
{
    *(struct item *)c = (struct item){.kind = I_BYTES, .at = at, .len = (int64_t)len};
}
static void on_array(void *c, size_t n)
{
    if (n <= INT32_MAX)
        *(struct item *)c = (struct item){.kind = I_ARRAY, .value = (int64_t)n};
}
static void on_null(void *c) { *(struct item *)c = (struct item){.kind = I_NULL}; }

static enum sagehitch_error next_item(struct cursor *cursor, struct item *item)
{
    static struct cbor_callbacks calls;
    if (!calls.uint8) {
        calls = cbor_empty_callbacks;
        calls.uint8 = on_u8, calls.uint16 = on_u16, calls.uint32 = on_u32, calls.uint64 = on_u64;
        calls.negint8 = on_n8, calls.negint16 = on_n16, calls.negint32 = on_n32, calls.negint64 = on_n64;
        calls.string = on_text, calls.byte_string = on_bytes, calls.array_start = on_array;
        calls.null = on_null;
    }
    *item = (struct item){0};
    struct cbor_decoder_result r = cbor_stream_decode(cursor->at, (size_t)cursor->left, &calls, item);
    if (r.status != CBOR_DECODER_FINISHED || item->kind == I_NONE)
        return ERROR_BAD_FRAME;
    cursor->at += r.read;
    cursor->left -= (int64_t)r.read;
    return ERROR_NONE;
}

static enum sagehitch_error get_str(struct cursor *cursor, char **to)
{
    struct item item;
    if (next_item(cursor, &item))
        return ERROR_BAD_FRAME;
    if (item.kind == I_NULL)
        return ERROR_NONE;
    if (item.kind != I_TEXT || memchr(item.at, 0, (size_t)item.len))
        return ERROR_BAD_FRAME;
    *to = must_alloc((size_t)item.len + 1);
    memcpy(*to, item.at, (size_t)item.len);
    return ERROR_NONE;
}

static enum sagehitch_error get_int(struct cursor *cursor, int64_t *to)
{
    struct item item;
    if (next_item(cursor, &item) || item.kind != I_INT)
        return ERROR_BAD_FRAME;
    *to = item.value;
    return ERROR_NONE;
}

static enum sagehitch_error get_schema(const struct schema *schema, void *to, struct cursor *cursor, int depth);

static enum sagehitch_error get_list(const struct field *field, void *to, struct cursor *cursor, int depth)
{
    struct item item;
    void *at = at_off(to, field->off);
    int64_t *count = count_at(field, to);
    /* every element takes at least one byte, so a larger count is invalid */
    if (next_item(cursor, &item) || item.kind != I_ARRAY || item.value > cursor->left)
        return ERROR_BAD_FRAME;
    size_t item_size = field->kind == F_LIST   ? field->sub->size
                       : field->kind == F_INTS ? sizeof(int64_t)
                                               : sizeof(char *);
    if (!item.value)
        return ERROR_NONE;
    char *items = must_alloc(item_size * (size_t)item.value);
    *(char **)at = items;
    for (int64_t k = 0; k < item.value; k++) {
        *count = k + 1;
        void *one = items + (size_t)k * item_size;
        int rc = field->kind == F_LIST   ? get_schema(field->sub, one, cursor, depth + 1)
                 : field->kind == F_INTS ? get_int(cursor, one)
                                         : get_str(cursor, one);
        if (rc)
            return rc;
    }
    return ERROR_NONE;
}

static enum sagehitch_error get_field(const struct field *field, void *to, struct cursor *cursor, int depth)
{
    void *at = at_off(to, field->off);
    struct item item;
    switch (field->kind) {
    case F_INT:
    case F_BOOL: return get_int(cursor, at);
    case F_STR: return get_str(cursor, at);
    case F_BYTES:
        if (next_item(cursor, &item) || item.kind != I_BYTES)
            return ERROR_BAD_FRAME;
        if (item.len)
            bytes_add(at, item.at, item.len);
        return ERROR_NONE;
    case F_STRS:
    case F_INTS:
    case F_LIST: return get_list(field, to, cursor, depth);
    case F_SUB: return get_schema(field->sub, at, cursor, depth + 1);
    case F_PTR:
        if (cursor->left > 0 && *cursor->at == 0xf6)
            return next_item(cursor, &item);
        *(void **)at = must_alloc(field->sub->size);
        return get_schema(field->sub, *(void **)at, cursor, depth + 1);
    }
    return ERROR_BAD_FRAME;
}

/* Skips a field that a newer version added, or that is absent under the struct's kind. */
static enum sagehitch_error skip_item(struct cursor *cursor, int depth)
{
    struct item item;
    if (depth > DEPTH_MAX || next_item(cursor, &item))
        return ERROR_BAD_FRAME;
    for (int64_t i = 0; item.kind == I_ARRAY && i < item.value; i++)
        if (skip_item(cursor, depth + 1))
            return ERROR_BAD_FRAME;
    return ERROR_NONE;
}

/* Fields are only added, at the end: those that an older version did not send stay zero, and those that a newer version
 * added are skipped. See docs/versions.md. */
static enum sagehitch_error get_schema(const struct schema *schema, void *to, struct cursor *cursor, int depth)
{
    struct item item;
    if (depth > DEPTH_MAX || next_item(cursor, &item) || item.kind != I_ARRAY || !item.value ||
        item.value > schema->n + ADDED_MAX)
        return ERROR_BAD_FRAME;
    for (int i = 0; i < schema->n && i < item.value; i++)
        if (schema->tagged && !is_present(&schema->fields[i], to)) {
            if (skip_item(cursor, depth + 1))
                return ERROR_BAD_FRAME;
        } else if (get_field(&schema->fields[i], to, cursor, depth)) {
            return ERROR_BAD_FRAME;
        }
    for (int64_t i = schema->n; i < item.value; i++)
        if (skip_item(cursor, depth + 1))
            return ERROR_BAD_FRAME;
    return ERROR_NONE;
}

enum sagehitch_error schema_unpack(const struct schema *schema, void *to, const uint8_t *at, int64_t len)
{
    struct cursor cursor = {.at = at, .left = len};
    enum sagehitch_error rc = get_schema(schema, to, &cursor, 0);
    if (!rc && cursor.left)
        rc = ERROR_BAD_FRAME;
    if (rc) {
        schema_free(schema, to);
        memset(to, 0, schema->size);
    }
    return rc;
}

/* --- memory ------------------------------------------------------------- */

void schema_free(const struct schema *schema, void *what)
{
    for (int i = 0; i < schema->n; i++) {
        const struct field *field = &schema->fields[i];
        void *at = at_off(what, field->off);
        if (field->kind == F_INT || field->kind == F_BOOL)
            continue; /* owns nothing */
        if (schema->tagged && !is_present(field, what))
            continue;
        if (field->kind == F_STR) {
            free(*(char **)at);
        } else if (field->kind == F_BYTES) {
            bytes_free(at);
        } else if (field->kind == F_STRS || field->kind == F_INTS || field->kind == F_LIST) {
            char *items = *(char **)at;
            for (int64_t k = 0; items && k < *count_at(field, what); k++) {
                if (field->kind == F_STRS)
                    free(((char **)items)[k]);
                else if (field->kind == F_LIST)
                    schema_free(field->sub, items + (size_t)k * field->sub->size);
            }
            free(items);
            *count_at(field, what) = 0;
        } else if (field->kind == F_SUB) {
            schema_free(field->sub, at);
        } else if (field->kind == F_PTR && *(void **)at) {
            schema_free(field->sub, *(void **)at);
            free(*(void **)at);
        }
        if (field->kind != F_SUB && field->kind != F_BYTES)
            *(void **)at = NULL;
    }
}

void schema_copy(const struct schema *schema, void *to, const void *from)
{
    struct bytes packed = {0};
    schema_pack(schema, from, &packed);
    memset(to, 0, schema->size);
    if (schema_unpack(schema, to, packed.at, packed.len))
        abort();
    bytes_free(&packed);
}

void schema_defaults(const struct schema *schema, void *to)
{
    memset(to, 0, schema->size);
    for (int i = 0; i < schema->n; i++) {
        const struct field *field = &schema->fields[i];
        if (field->kind == F_INT || field->kind == F_BOOL)
            *(int64_t *)at_off(to, field->off) = field->default_value;
        else if (field->kind == F_STR)
            *(char **)at_off(to, field->off) = must_dup(field->default_str);
        else if (field->kind == F_SUB)
            schema_defaults(field->sub, at_off(to, field->off));
    }
}

const struct field *schema_field(const struct schema *schema, const char *name)
{
    for (int i = 0; i < schema->n; i++)
        if (!strcmp(schema->fields[i].name, name))
            return &schema->fields[i];
    return NULL;
}
