/* Internal functions shared by record*.c. */
#ifndef SAGEHITCH_DISPATCH_RECORD_INTERNAL_H
#define SAGEHITCH_DISPATCH_RECORD_INTERNAL_H
#include "base/error.h"
#include "dispatch/record.h"

/* Frees all content except changed and arg. */
void record_clear(struct record *record);
/* Adds an incarnation to the index by name; its name must not be indexed yet. */
void record_index_incarnation(struct record *record, int64_t incarnation);
/* Calls record->changed, if set. */
void record_notify(struct record *record, struct job *job, int64_t row_index);
/* Hash of a submission. Equal submissions have equal hashes, across versions of the program too. */
uint64_t job_hash(const struct job_spec *spec, const char *queue);
/* Allocates the rows, all WAITING, and the per-step arrays of a job whose spec, queue and accepted_ms are set. */
void job_alloc_rows(struct job *job);
/* Frees the rows, the per-step arrays and what spec owns, but not the job itself. */
void job_free_rows(struct job *job);
/* Frees the job and all that it owns. */
void job_free(struct job *job);
/* Adds the job to the index by id. */
void record_index_job(struct record *record, struct job *job);
/* Appends the job to the list of live jobs; removes it from the list. */
void record_link(struct record *record, struct job *job);
void record_unlink(struct record *record, struct job *job);
/* Removes a job that is no longer live from the index, calls changed and frees the job. */
void record_forget(struct record *record, struct job *job);

/* record_queues.c */
/* Updates the queues to a new configuration. */
void record_replace_queues(struct record *record, const struct config *config);
/* Sets *queue to the index of the queue that a submission is for: the one that it names, or if that has another route
 * by now, the one that has the route. ERROR_NOT_FOUND: no queue has the route; ERROR_UNAVAILABLE: only a queue with a
 * shorter prefix does, so that the caller may try again. */
enum sagehitch_error record_submission_queue(const struct record *record, const struct job_op *op, int64_t *queue);
/* Whether op is the submission that created the job, sent once or again. */
int job_is_submitted_by(const struct record *record, const struct job *job, const struct job_op *op);
/* Frees the route by which a job was accepted, if it has one of its own. */
void job_route_free(struct job *job);

/* record_ops.c */
/* Unlinks a job that is over and frees its rows, unless some of them are still PLACED. Returns whether it did. */
int job_release(struct record *record, struct job *job);
/* Ends a job. state: JOB_DONE, JOB_FAILED or JOB_CANCELLED; at_ms: time of day. */
void job_end(struct record *record, struct job *job, int64_t state, int64_t at_ms);

/* record_rows.c. Return values as of record_apply(). */
enum sagehitch_error record_apply_place(struct record *record, const struct place_op *op, int64_t at_ms);
enum sagehitch_error record_apply_end(struct record *record, const struct end_op *op, int64_t at_ms);
#endif
