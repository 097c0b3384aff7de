#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "slopes.h"

static int asked(int argc, char **argv, const char *part)
{
    for (int i = 1; i < argc; i++)
        if (!strcmp(argv[i], part))
            return 1;
    return argc < 2;
}

int main(int argc, char **argv)
{
    static const int64_t sizes[][2] = {{20, 10}, {100, 17}, {500, 17}, {2000, 17}, {6500, 17}};
    setvbuf(stdout, NULL, _IOLBF, 0);
    printf("%-44s %-28s %14s %s\n", "what", "size", "figure", "unit");
    if (asked(argc, argv, "frames"))
        slopes_frames();
    if (asked(argc, argv, "record"))
        slopes_record();
    if (asked(argc, argv, "config"))
        slopes_config();
    if (asked(argc, argv, "plan"))
        slopes_plan();
    if (asked(argc, argv, "log"))
        slopes_log();
    if (asked(argc, argv, "agent"))
        slopes_agent();
    if (asked(argc, argv, "leader"))
        for (int i = 0; i < COUNT_OF(sizes); i++)
            slopes_leader(sizes[i][0], sizes[i][1]);
    return 0;
}
