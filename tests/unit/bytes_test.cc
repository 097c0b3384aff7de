// Growing byte strings, and parsing of numbers.
#include <gtest/gtest.h>

#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" {
#include "base/bytes.h"
}

TEST(Bytes, ParsedNumbersAreSaturatedOrZero)
{
    EXPECT_EQ(text_to_int64("42"), 42);
    EXPECT_EQ(text_to_int64("-7 and more"), -7);
    EXPECT_EQ(text_to_int64("9223372036854775807"), INT64_MAX);
    EXPECT_EQ(text_to_int64("9223372036854775808"), INT64_MAX);
    EXPECT_EQ(text_to_int64("-99999999999999999999"), INT64_MIN);
    EXPECT_EQ(text_to_int64(""), 0);
    EXPECT_EQ(text_to_int64("none"), 0);
}

TEST(Bytes, FormattedTextsHaveAnyLength)
{
    std::string longest(5000, 'x');
    char *text = must_printf("%s-%d", longest.c_str(), 7);
    EXPECT_EQ(std::string(text), longest + "-7");
    free(text);
    struct bytes bytes = {};
    bytes_printf(&bytes, "%s", "");
    EXPECT_EQ(bytes.len, 0);
    bytes_printf(&bytes, "a%d", 1);
    bytes_printf(&bytes, "%s", longest.c_str());
    EXPECT_EQ(bytes.len, 5002);
    EXPECT_EQ(std::string((const char *)bytes.at), "a1" + longest);
    bytes_free(&bytes);
}
