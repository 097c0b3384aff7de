#include "base/problem.h"

static const struct problem_answer answers[] = {
    [-P_OK] = {.name = "ok", .status = 200},
    [-P_BAD_JSON] = {.name = "bad_json", .status = 400},
    [-P_BAD_FIELD] = {.name = "bad_field", .status = 400},
    [-P_TOO_LARGE] = {.name = "too_large", .status = 413},
    [-P_BAD_STEPS] = {.name = "bad_steps", .status = 400},
    [-P_KEY_TAKEN] = {.name = "key_taken", .status = 409},
    [-P_NO_SUCH] = {.name = "no_such", .status = 404},
    [-P_STALE] = {.name = "stale_version", .status = 409},
    [-P_BOUND] = {.name = "breaks_bound", .status = 422},
    [-P_NEVER_FITS] = {.name = "never_fits", .status = 422},
    [-P_OVERLOAD] = {.name = "overload", .status = 429, .retryMs = 1000},
    [-P_GATE] = {.name = "gate_closed", .status = 503, .retryMs = 1000},
    [-P_NO_OWNER] = {.name = "no_owner", .status = 503, .retryMs = 1000},
    [-P_GAVE_UP] = {.name = "gave_up", .status = 503, .retryMs = 2000},
    [-P_EPOCH] = {.name = "lower_epoch", .status = 409},
    [-P_BAD_FRAME] = {.name = "bad_frame", .status = 400},
    [-P_DISK] = {.name = "disk", .status = 500},
    [-P_MEMORY] = {.name = "memory", .status = 503, .retryMs = 1000},
    [-P_NOT_LEADER] = {.name = "not_leader", .status = 503, .retryMs = 500},
    [-P_DENIED] = {.name = "denied", .status = 409},
    [-P_BAD_METHOD] = {.name = "bad_method", .status = 405},
    [-P_BAD_PARAM] = {.name = "bad_param", .status = 500},
    [-P_GONE] = {.name = "gone", .status = 410},
};

static const struct problem_answer unknownAnswer = {.name = "unknown", .status = 500};

const struct problem_answer *problem_answer(int problem)
{
    if (problem > 0 || problem <= P_LAST)
        return &unknownAnswer;
    return &answers[-problem];
}
