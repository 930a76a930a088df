#ifndef ANVIL_LOADTOOL_HTMLREPORT_H
#define ANVIL_LOADTOOL_HTMLREPORT_H

#include "LoadTool/LoadReport.h"

#include <string>

namespace anvil {

/// The report as one HTML page with its charts drawn in it; it loads nothing.
std::string htmlReport(const LoadReport &Report);

} // namespace anvil

#endif // ANVIL_LOADTOOL_HTMLREPORT_H
