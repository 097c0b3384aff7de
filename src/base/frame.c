/* Building and parsing of frames. */
#include "base/frame.h"

#include <string.h>

#include "base/error.h"

int frame_lossy(enum frame_kind kind) { return kind >= FRAME_PING && kind <= FRAME_PING_REQUEST; }
int frame_is_for_log(enum frame_kind kind)
{
    return (kind >= FRAME_VOTE_REQUEST && kind <= FRAME_LEAD_NOW) || kind == FRAME_SNAPSHOT_CHUNK ||
           kind == FRAME_SNAPSHOT_CHUNK_ACK;
}

void frame_build(struct bytes *to, enum frame_kind kind, uint32_t cluster, uint64_t from, const struct schema *schema,
                 const void *msg)
{
    uint8_t head[FRAME_HEAD] = {'S', 'H', FRAME_VERSION, (uint8_t)kind};
    bytes_add(to, head, FRAME_HEAD);
    schema_pack(schema, msg, to);
    int64_t len = to->len - FRAME_HEAD;
    le_put(to->at + 4, cluster, 4);
    le_put(to->at + 8, from, 8);
    le_put(to->at + 16, (uint64_t)len, 4);
    le_put(to->at + 20, crc_of(to->at + FRAME_HEAD, len), 4);
}

int64_t frame_length(const uint8_t *head, uint32_t cluster)
{
    if (head[0] != 'S' || head[1] != 'H' || head[2] != FRAME_VERSION || !head[3] || head[3] >= FRAME_LAST)
        return ERROR_BAD_FRAME;
    if (le_get(head + 4, 4) != cluster)
        return ERROR_BAD_FRAME;
    int64_t len = (int64_t)le_get(head + 16, 4);
    return len > FRAME_MAX ? ERROR_BAD_FRAME : FRAME_HEAD + len;
}

enum sagehitch_error frame_parse(struct frame *to, const uint8_t *at, int64_t len, uint32_t cluster)
{
    if (len < FRAME_HEAD || frame_length(at, cluster) != len)
        return ERROR_BAD_FRAME;
    if (le_get(at + 20, 4) != crc_of(at + FRAME_HEAD, len - FRAME_HEAD))
        return ERROR_BAD_FRAME;
    *to = (struct frame){.kind = at[3], .from = le_get(at + 8, 8), .body = at + FRAME_HEAD, .len = len - FRAME_HEAD};
    return ERROR_NONE;
}
