/* Error codes. Functions that can fail return one of these, negative, or ERROR_NONE; a function
 * with a result of its own may return that where it is 0 or more. The table in error.c maps each code
 * to an HTTP response. */
#ifndef SAGEHITCH_ERROR_H
#define SAGEHITCH_ERROR_H
#include <stdint.h>

enum sagehitch_error {
    ERROR_NONE = 0,
    ERROR_BAD_JSON = -1,         /* not JSON at all */
    ERROR_BAD_FIELD = -2,        /* unknown, missing or ill-typed field; the path says which */
    ERROR_TOO_LARGE = -3,        /* body or payload over its bound */
    ERROR_BAD_STEPS = -4,        /* steps depend on themselves or on ones that do not exist */
    ERROR_KEY_TAKEN = -5,        /* the key belongs to a job with other contents */
    ERROR_NOT_FOUND = -6,        /* no such job, path or entry */
    ERROR_STALE = -7,            /* the expected version is not the current one */
    ERROR_BOUND = -8,            /* a setting breaks an inherited bound */
    ERROR_NEVER_FITS = -9,       /* no executor kind could ever hold it */
    ERROR_OVERLOAD = -10,        /* too much is buffered; come back later */
    ERROR_UNAVAILABLE = -11,     /* this process cannot confirm its state now */
    ERROR_NO_OWNER = -12,        /* no process has this duty at the moment */
    ERROR_OUTCOME_UNKNOWN = -13, /* no answer in time from those who must agree; the outcome is open */
    ERROR_EPOCH = -14,           /* a lower epoch than one already seen */
    ERROR_BAD_FRAME = -15,       /* bytes that are not a frame of this cluster */
    ERROR_DISK = -16,            /* an I/O error, or contents that fail their check */
    ERROR_MEMORY = -17,
    ERROR_NOT_LEADER = -18, /* another process leads */
    ERROR_REJECTED = -19,   /* a reservation that the account does not allow */
    ERROR_BAD_METHOD = -20,
    ERROR_BAD_SETTING = -21, /* a local setting is wrong */
    ERROR_GONE = -22,        /* no such job, or its retention is over */
    ERROR_LAST = -23
};

/* How an error is reported over HTTP. */
struct error_response {
    const char *name; /* the code in the JSON body */
    int status;       /* HTTP status */
    int64_t retry_ms; /* wait before a retry; 0: a retry will not help */
};

/* Never NULL: codes outside the list are reported as 500. Static memory. */
const struct error_response *error_response(int error);
#endif
