/// @file command_line.h
/// Command line parsing with docopt, with the exit codes that the help texts state. Programs that include this header must link docopt.
#pragma once

#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace turmericspar {

/// Exit code for an invalid command line.
inline constexpr int exitUsage = 2;

/// @return the first option that is not spelled out, or an empty string. docopt accepts any prefix of an option name; these programs do not.
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

/// Parses a command line by its usage text. Exits the program for --help (code 0) and for an invalid command line (exitUsage).
inline std::map<std::string, docopt::value> parseCommandLine(const char *usage, int argc, char **argv)
{
    try {
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        auto parsed = docopt::docopt_parse(usage, arguments, true, false);
        if (const auto abbreviated = abbreviatedOption(arguments, parsed); !abbreviated.empty()) {
            throw std::invalid_argument("unknown option " + abbreviated);
        }
        return parsed;
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        std::exit(0);
    } catch (const std::exception &error) {
        std::cerr << argv[0] << ": " << error.what() << "\n\n" << usage;
        std::exit(exitUsage);
    }
}

/// @return the integer value of an option. Exits the program with exitUsage if the value is no integer.
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
