/* Slab allocator of numbered cells. */
#include "base/slab.h"

#include <stdlib.h>
#include <string.h>

#include "base/bytes.h"

int64_t slab_take(struct slab *slab, int64_t cell_size)
{
    int64_t i = 0;
    while (i < slab->cap && (slab->generations[i] & 1))
        i++;
    if (i == slab->cap) {
        slab->cell_size = cell_size;
        slab->cap = slab->cap ? slab->cap * 2 : 16;
        slab->cells = must_grow(slab->cells, (size_t)(slab->cap * cell_size));
        slab->generations = must_grow(slab->generations, (size_t)slab->cap * sizeof *slab->generations);
        memset(slab->generations + i, 0, (size_t)(slab->cap - i) * sizeof *slab->generations);
    }
    memset(slab->cells + i * slab->cell_size, 0, (size_t)slab->cell_size);
    slab->generations[i]++;
    slab->used++;
    return slab_number(slab, i);
}

int64_t slab_number(struct slab *slab, int64_t i)
{
    return slab->generations[i] & 1 ? ((int64_t)slab->generations[i] << 24) | (i + 1) : 0;
}

void *slab_at(struct slab *slab, int64_t number)
{
    int64_t i = (number & 0xffffff) - 1;
    if (number <= 0 || i < 0 || i >= slab->cap || slab_number(slab, i) != number)
        return NULL;
    return slab->cells + i * slab->cell_size;
}

void slab_free(struct slab *slab, int64_t number)
{
    if (!slab_at(slab, number))
        return;
    slab->generations[(number & 0xffffff) - 1]++;
    slab->used--;
}

void slab_end(struct slab *slab)
{
    free(slab->cells);
    free(slab->generations);
    *slab = (struct slab){0};
}
