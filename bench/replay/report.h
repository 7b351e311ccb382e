/// @file report.h
/// The report of a replay: one HTML file with embedded plots.
#pragma once

#include "score.h"

#include <string>
#include <vector>

namespace turmericspar {

/// A run with its scores.
struct scored_run
{
    run_history history;
    std::vector<phase_score> scores;
    std::vector<history_violation> violations;
};

/// Writes the report.
/// @return whether the file could be written
bool writeReport(const std::string &path, const trace &plan, const std::vector<scored_run> &runs);

} // namespace turmericspar
