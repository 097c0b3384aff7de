/* A slab allocator of cells of equal size that are identified by number. The number of a freed cell stays invalid when
 * the cell is reused, so a late response cannot reach another request. */
#ifndef SAGEHITCH_SLAB_H
#define SAGEHITCH_SLAB_H
#include <stdint.h>

/* Zero-initialized it is an empty slab. Invariant: cell i is in use iff generations[i] is odd; a number contains index
 * and generation, so it matches no cell once its cell was freed. */
struct slab {
    char *cells;
    uint32_t *generations;
    int64_t cell_size, cap, used;
};

/* Allocates a zeroed cell and returns its number, which is greater than 0. cell_size must be the same in each call.
 * Invalidates pointers to other cells. */
int64_t slab_take(struct slab *slab, int64_t cell_size);
/* The cell, or NULL if the number is not valid. The pointer is valid until the next slab_take(). */
void *slab_at(struct slab *slab, int64_t number);
/* Frees a cell; a number that is not valid is ignored. */
void slab_free(struct slab *slab, int64_t number);
/* The number of the cell at index (0 to cap - 1), or 0 if the cell is not in use. */
int64_t slab_number(struct slab *slab, int64_t index);
/* Frees all memory. */
void slab_end(struct slab *slab);
#endif
