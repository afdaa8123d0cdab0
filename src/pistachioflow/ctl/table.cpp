#include "pistachioflow/ctl/table.hpp"

#include <algorithm>
#include <vector>

namespace pistachioflow::ctl {

namespace {

using nlohmann::json;

constexpr std::size_t ColumnGap = 2;

std::string cellText(const json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_null())
    return "-";
  return Value.dump();
}

bool isRows(const json &Value) {
  return Value.is_array() && !Value.empty() && Value.front().is_object();
}

std::vector<std::string> columnNames(const json &Rows) {
  std::vector<std::string> Names;
  for (const json &Row : Rows) {
    for (const auto &Field : Row.items()) {
      if (std::find(Names.begin(), Names.end(), Field.key()) == Names.end())
        Names.push_back(Field.key());
    }
  }
  return Names;
}

std::string fieldText(const json &Row, const std::string &Name) {
  return Row.contains(Name) ? cellText(Row[Name]) : "-";
}

std::size_t columnWidth(const json &Rows, const std::string &Name) {
  std::size_t Width = Name.size();
  for (const json &Row : Rows)
    Width = std::max(Width, fieldText(Row, Name).size());
  return Width;
}

void appendPadded(std::string &Line, const std::string &Text,
                  std::size_t Width) {
  Line += Text;
  Line.append(Width - Text.size() + ColumnGap, ' ');
}

void appendLine(std::string &Text, std::string Line) {
  Line.erase(Line.find_last_not_of(' ') + 1);
  Text += Line + "\n";
}

std::string formatRows(const json &Rows) {
  const std::vector<std::string> Names = columnNames(Rows);
  std::vector<std::size_t> Widths;
  std::string Header;
  for (const std::string &Name : Names) {
    Widths.push_back(columnWidth(Rows, Name));
    appendPadded(Header, Name, Widths.back());
  }
  std::string Text;
  appendLine(Text, Header);
  for (const json &Row : Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Names.size(); ++I)
      appendPadded(Line, fieldText(Row, Names[I]), Widths[I]);
    appendLine(Text, Line);
  }
  return Text;
}

std::string formatObject(const json &Value) {
  std::string Text;
  std::string Tables;
  for (const auto &Field : Value.items()) {
    if (isRows(Field.value()))
      Tables += "\n" + Field.key() + ":\n" + formatRows(Field.value());
    else
      Text += Field.key() + ": " + cellText(Field.value()) + "\n";
  }
  return Text + Tables;
}

} // namespace

std::string formatTable(const json &Value) {
  if (isRows(Value))
    return formatRows(Value);
  if (Value.is_object())
    return formatObject(Value);
  return cellText(Value) + "\n";
}

} // namespace pistachioflow::ctl
