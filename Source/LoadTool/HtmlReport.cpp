#include "LoadTool/HtmlReport.h"

#include <algorithm>
#include <functional>
#include <sstream>

namespace anvil {

/// The size of a chart, in pixels.
static constexpr double ChartWidth = 640;
static constexpr double ChartHeight = 160;

static std::string escapeHtml(const std::string &Text) {
  std::string Escaped;
  for (char Character : Text) {
    switch (Character) {
    case '<':
      Escaped += "&lt;";
      break;
    case '&':
      Escaped += "&amp;";
      break;
    default:
      Escaped += Character;
    }
  }
  return Escaped;
}

/// Draws a line chart of one value per second, labelled with its maximum.
static void
drawSeconds(std::ostream &Out, const std::string &Title,
            const std::vector<SecondReport> &Seconds,
            const std::function<double(const SecondReport &)> &ValueOf) {
  double Maximum = 1;
  for (const SecondReport &Second : Seconds)
    Maximum = std::max(Maximum, ValueOf(Second));
  Out << "<h2>" << Title << "</h2><svg width=\"" << ChartWidth << "\" height=\""
      << ChartHeight << "\"><polyline fill=\"none\" stroke=\"#06c\" "
      << "stroke-width=\"2\" points=\"";
  double Step = ChartWidth / std::max<double>(1, std::ssize(Seconds) - 1);
  for (std::size_t Index = 0; Index < Seconds.size(); ++Index)
    Out << static_cast<double>(Index) * Step << ","
        << ChartHeight * (1 - ValueOf(Seconds[Index]) / Maximum) << " ";
  Out << "\"/><text x=\"4\" y=\"14\">" << Maximum << "</text></svg>\n";
}

static void drawCustomers(std::ostream &Out,
                          const std::vector<CustomerReport> &Customers) {
  double Maximum = 1;
  for (const CustomerReport &Customer : Customers)
    Maximum = std::max(Maximum, Customer.FirstTokenP95Ms_);
  constexpr double RowHeight = 22;
  constexpr double LabelWidth = 120;
  Out << "<h2>First token, 95th percentile by customer (ms)</h2><svg width=\""
      << ChartWidth << "\" height=\""
      << RowHeight * static_cast<double>(Customers.size()) << "\">";
  double Top = 0;
  for (const CustomerReport &Customer : Customers) {
    double Width =
        (ChartWidth - 2 * LabelWidth) * Customer.FirstTokenP95Ms_ / Maximum;
    Out << "<text x=\"0\" y=\"" << Top + 15 << "\">"
        << escapeHtml(Customer.Customer_) << "</text><rect x=\"" << LabelWidth
        << "\" y=\"" << Top + 3 << "\" height=\"16\" width=\"" << Width
        << "\" fill=\"#06c\"/><text x=\"" << LabelWidth + Width + 6 << "\" y=\""
        << Top + 15 << "\">" << Customer.FirstTokenP95Ms_ << "</text>";
    Top += RowHeight;
  }
  Out << "</svg>\n";
}

std::string htmlReport(const LoadReport &Report) {
  std::ostringstream Out;
  std::string Title = escapeHtml(Report.Scenario_);
  Out << "<!doctype html><meta charset=\"utf-8\"><title>" << Title
      << "</title><style>body{font:14px sans-serif;margin:2em}"
         "pre{background:#f4f4f4;padding:1em}</style><h1>"
      << Title << "</h1><pre>" << escapeHtml(reportText(Report)) << "</pre>\n";
  drawCustomers(Out, Report.Customers_);
  drawSeconds(Out, "Answers per second", Report.Seconds_,
              [](const SecondReport &Second) {
                return static_cast<double>(Second.Answered_);
              });
  drawSeconds(Out, "Refusals per second", Report.Seconds_,
              [](const SecondReport &Second) {
                return static_cast<double>(Second.Refused_);
              });
  drawSeconds(
      Out, "First token, 95th percentile per second (ms)", Report.Seconds_,
      [](const SecondReport &Second) { return Second.FirstTokenP95Ms_; });
  return Out.str();
}

} // namespace anvil
