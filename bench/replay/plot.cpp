#include "plot.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace turmericspar {

namespace {

constexpr double plotWidth = 860;
constexpr double plotHeight = 240;
constexpr double margin = 50;
constexpr std::array<const char *, 6> colours{"#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b"};

} // namespace

std::string plotColour(std::size_t number)
{
    return colours[number % colours.size()];
}

std::string escaped(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

std::string linePlot(const std::string &title, const std::string &unit, const std::vector<plot_line> &lines)
{
    double right = 1;
    double top = 1e-9;
    for (const auto &line : lines) {
        for (const auto &[x, y] : line.points) {
            right = std::max(right, x);
            top = std::max(top, y);
        }
    }
    const auto toX = [&](double x) { return margin + x / right * (plotWidth - 2 * margin); };
    const auto toY = [&](double y) { return plotHeight - margin + 20 - y / top * (plotHeight - 2 * margin); };
    std::string svg =
        fmt::format("<h3>{}</h3><svg width='{}' height='{}' font-family='sans-serif' font-size='11'>", escaped(title), plotWidth, plotHeight + 30);
    svg += fmt::format("<line x1='{0}' y1='{1}' x2='{2}' y2='{1}' stroke='#888'/>", margin, toY(0), plotWidth - margin);
    constexpr int gridLines = 4;
    for (int i = 0; i <= gridLines; ++i) {
        const double y = top * i / gridLines;
        svg += fmt::format("<line x1='{0}' y1='{1:.1f}' x2='{2}' y2='{1:.1f}' stroke='#eee'/><text x='4' y='{3:.1f}'>{4:.3g}</text>",
                           margin,
                           toY(y),
                           plotWidth - margin,
                           toY(y) + 4,
                           y);
        const double x = right * i / gridLines;
        svg += fmt::format("<text x='{:.1f}' y='{}'>{:.3g}</text>", toX(x), plotHeight, x);
    }
    svg += fmt::format("<text x='{}' y='{}'>{}</text>", plotWidth - margin + 5, plotHeight, escaped(unit));
    double labelAt = margin;
    for (const auto &line : lines) {
        svg += fmt::format("<polyline fill='none' stroke='{}' stroke-width='1.6' points='", line.colour);
        for (const auto &[x, y] : line.points) {
            svg += fmt::format("{:.1f},{:.1f} ", toX(x), toY(y));
        }
        svg += fmt::format("'/><text x='{:.0f}' y='{}' fill='{}'>{}</text>", labelAt, plotHeight + 22, line.colour, escaped(line.label));
        labelAt += 8.0 * static_cast<double>(line.label.size()) + 20;
    }
    return svg + "</svg>";
}

std::string pageHead(const std::string &title)
{
    return "<!doctype html><html lang='en'><meta charset='utf-8'><title>" + escaped(title) + "</title><style>"
        + "body{font-family:sans-serif;margin:2em;max-width:960px}table{border-collapse:collapse;font-size:13px}"
        + "td,th{border:1px solid #ccc;padding:3px 7px;text-align:right}.bad{color:#b00}</style>";
}

} // namespace turmericspar
