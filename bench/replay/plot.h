/// @file plot.h
/// Plots as SVG inside HTML pages without external resources.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace turmericspar {

/// One line of a plot.
struct plot_line
{
    std::string label;
    std::string colour;
    std::vector<std::pair<double, double>> points;
};

/// @return a colour for the line of that number.
std::string plotColour(std::size_t number);

/// @return a text that is safe inside HTML.
std::string escaped(const std::string &text);

/// Draws lines as an SVG picture.
/// @param unit of the horizontal axis
std::string linePlot(const std::string &title, const std::string &unit, const std::vector<plot_line> &lines);

/// @return the beginning of an HTML page with its style.
std::string pageHead(const std::string &title);

} // namespace turmericspar
