/* Estimates the memory of a JSON text from its punctuation. */
#include "base/json_memory.h"

enum {
    OBJECT_BYTES = 224, /* with the buckets that an empty object has */
    ARRAY_BYTES = 128,  /* with the table that an empty array has */
    MEMBER_BYTES = 112, /* pair, name and bucket of a member of an object */
    ELEMENT_BYTES = 16, /* place in the table of an array, which doubles as it grows */
    STRING_BYTES = 80,  /* without its text */
    NUMBER_BYTES = 32,
    PARSER_BYTES = 256,
    STRING_BUFFERS = 3 /* the parser's buffer for a string doubles, and is copied as it grows */
};

/* Occurrences of punctuation outside strings, and the length of the longest string. */
struct punctuation {
    int64_t objects, arrays, colons, commas, strings, longest_string;
};

/* Returns the position after the string that begins at position i. */
static int64_t string_end(const char *text, int64_t len, int64_t i)
{
    for (i++; i < len && text[i] != '"'; i++)
        i += text[i] == '\\';
    return i + 1;
}

static struct punctuation count_punctuation(const char *text, int64_t len)
{
    struct punctuation count = {0};
    for (int64_t i = 0; i < len;) {
        count.objects += text[i] == '{';
        count.arrays += text[i] == '[';
        count.colons += text[i] == ':';
        count.commas += text[i] == ',';
        count.strings += text[i] == '"';
        int64_t next = text[i] == '"' ? string_end(text, len, i) : i + 1;
        if (text[i] == '"' && next - i > count.longest_string)
            count.longest_string = next - i;
        i = next;
    }
    return count;
}

static int64_t not_negative(int64_t n) { return n > 0 ? n : 0; }

/* A text that is not valid cannot lower the bound: what takes from one term adds more to another. */
int64_t json_memory_estimate(const char *text, int64_t len)
{
    struct punctuation count = count_punctuation(text, len);
    int64_t elements = not_negative(count.commas + count.objects + count.arrays - count.colons);
    int64_t string_values = not_negative(count.strings - count.colons);
    int64_t numbers = not_negative(count.colons + elements - count.objects - count.arrays - string_values + 1);
    return PARSER_BYTES + len + count.longest_string * STRING_BUFFERS + count.objects * OBJECT_BYTES +
           count.arrays * ARRAY_BYTES + count.colons * MEMBER_BYTES + elements * ELEMENT_BYTES +
           string_values * STRING_BYTES + numbers * NUMBER_BYTES;
}
