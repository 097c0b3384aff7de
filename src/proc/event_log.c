/* The event log: writes numbered events to log4c. */
#include <log4c.h>
#include <string.h>

#include "base/events.h"
#include "proc/runtime.h"

static log4c_category_t *category;

static int priority_of(enum event_level level)
{
    static const int priorities[] = {LOG4C_PRIORITY_DEBUG, LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_WARN,
                                     LOG4C_PRIORITY_ERROR};
    return priorities[level];
}

void event_log_set_level(const char *level)
{
    static const char *const names[] = {"debug", "info", "warn", "error"};
    for (int i = 0; i < COUNT_OF(names); i++)
        if (!strcmp(level, names[i]))
            log4c_category_set_priority(category, priority_of((enum event_level)i));
}

void event_log_start(const char *level)
{
    log4c_init();
    category = log4c_category_get("sagehitch");
    log4c_appender_t *appender = log4c_appender_get("stderr");
    log4c_appender_set_layout(appender, log4c_layout_get("dated"));
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    event_log_set_level(level);
}

void event_log_end(void) { log4c_fini(); }

void event_log_write(struct world *world, int event, const char *text)
{
    const struct event_kind *kind = event_kind(event);
    (void)world;
    if (kind)
        log4c_category_log(category, priority_of(kind->level), "E%d %s: %s", kind->no, kind->text, text);
}
