/* Struct members may be renamed, but not the external names that operators, clients and files on disk see. */
#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace
{

std::string text_of(const std::filesystem::path &path)
{
    std::ifstream in(path);
    std::stringstream all;
    all << in.rdbuf();
    return all.str();
}

/* The arguments of a macro call, whose text starts at from, separated at commas. */
std::vector<std::string> arguments_of(const std::string &source, size_t from)
{
    std::vector<std::string> arguments(1);
    for (size_t i = from; i < source.size() && source[i] != ')' && source[i] != '('; i++) {
        if (source[i] == ',')
            arguments.emplace_back();
        else if (!isspace((unsigned char)source[i]))
            arguments.back() += source[i];
    }
    return arguments;
}

bool is_text(const std::string &argument)
{
    return argument.size() >= 2 && argument[0] == '"' && argument.back() == '"';
}

/* Adds the external names of all schema tables in this source. */
void add_names(const std::string &source, std::vector<std::string> &names)
{
    static const std::set<std::string> fields = {"INT", "BOOL", "STR", "BYTES", "STRS", "INTS", "LIST", "SUB", "PTR"};
    static const std::set<std::string> rows = {"P", "L", "RULE"}; /* macros of tables with similar members */
    for (size_t at = 0; (at = source.find('(', at)) != std::string::npos; at++) {
        size_t from = at;
        while (from > 0 && (isalnum((unsigned char)source[from - 1]) || source[from - 1] == '_'))
            from--;
        std::string macro = source.substr(from, at - from);
        std::vector<std::string> arguments = arguments_of(source, at + 1);
        size_t suffix = macro.rfind("_NAMED");
        bool named = suffix != std::string::npos;
        if (rows.count(macro) && arguments.size() > 1 && is_text(arguments[1]))
            names.push_back(arguments[1].substr(1, arguments[1].size() - 2));
        else if (named && fields.count(macro.substr(0, suffix)) && arguments.size() > 2 && is_text(arguments[2]))
            names.push_back(arguments[2].substr(1, arguments[2].size() - 2));
        else if (!named && fields.count(macro) && arguments.size() > 1)
            names.push_back(arguments[1]);
    }
}

std::vector<std::string> names_in_sources()
{
    std::vector<std::string> names;
    for (const char *folder : {"/src", "/platform"})
        for (const auto &file : std::filesystem::recursive_directory_iterator(SAGEHITCH_SOURCE + std::string(folder)))
            if (file.path().extension() == ".c")
                add_names(text_of(file.path()), names);
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace

/* outer_names.txt lists the external names from before the members were renamed to snake_case. A line is added with a
 * new member, and changed or removed only together with all readers of that name. */
TEST(OuterNames, AreUnchangedByRenamedMembers)
{
    std::vector<std::string> expected;
    std::ifstream in(SAGEHITCH_SOURCE "/tests/unit/outer_names.txt");
    for (std::string line; std::getline(in, line);)
        expected.push_back(line);
    std::sort(expected.begin(), expected.end());
    ASSERT_GT(expected.size(), 500u);
    EXPECT_EQ(expected, names_in_sources());
}
