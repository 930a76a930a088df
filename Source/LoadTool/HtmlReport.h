#ifndef ANVIL_LOADTOOL_HTMLREPORT_H
#define ANVIL_LOADTOOL_HTMLREPORT_H

#include "LoadTool/LoadReport.h"

#include <string>

namespace anvil {

/// Formats the report as a self-contained HTML page with inline SVG charts.
std::string htmlReport(const LoadReport &Report);

} // namespace anvil

#endif // ANVIL_LOADTOOL_HTMLREPORT_H
