#include "command_context.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>

namespace turmericspar {

exit_code printError(const std::string &text, exit_code code)
{
    std::cerr << "turmericsparctl: " << text << '\n';
    return code;
}

void printTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += fmt::format("{:<{}}  ", row[i], widths[i]);
        }
        line.erase(line.find_last_not_of(' ') + 1);
        std::cout << line << '\n';
    }
}

} // namespace turmericspar
