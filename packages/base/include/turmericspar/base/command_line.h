/// @file command_line.h
/// Command lines by docopt, with exit codes that the help texts state. Programs that include it link docopt.
#pragma once

#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace turmericspar {

/// What a program ends with when its command line has mistakes.
inline constexpr int exitUsage = 2;

/// @return the first option that is not written in full, where docopt takes any beginning of a name for the whole; empty if there is none.
inline std::string abbreviatedOption(const std::vector<std::string> &arguments, const std::map<std::string, docopt::value> &known)
{
    for (const auto &argument : arguments) {
        if (argument == "--") {
            break;
        }
        const auto name = argument.substr(0, argument.find('='));
        if (name.starts_with("--") && !known.contains(name)) {
            return name;
        }
    }
    return {};
}

/// Reads a command line by its usage text; ends the program for --help and for mistakes.
inline std::map<std::string, docopt::value> parseCommandLine(const char *usage, int argc, char **argv)
{
    try {
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        auto read = docopt::docopt_parse(usage, arguments, true, false);
        if (const auto shortened = abbreviatedOption(arguments, read); !shortened.empty()) {
            throw std::invalid_argument("unknown option " + shortened);
        }
        return read;
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        std::exit(0);
    } catch (const std::exception &error) {
        std::cerr << argv[0] << ": " << error.what() << "\n\n" << usage;
        std::exit(exitUsage);
    }
}

/// @return a whole number that an option gives; ends the program if it gives none.
inline long integerOption(const docopt::value &option, const char *name)
{
    try {
        return option.asLong();
    } catch (const std::exception &) {
        std::cerr << name << ": expected a whole number\n";
        std::exit(exitUsage);
    }
}

} // namespace turmericspar
