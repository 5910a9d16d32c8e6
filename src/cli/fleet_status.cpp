#include "cli/fleet_status.h"

#include <fmt/format.h>

#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

#include "cli/table.h"

namespace stoatrun::cli {
namespace {

using simdjson::dom::array;
using simdjson::dom::element;

// Formats a [low, high] pair as "low to high", or as one number if both are equal.
std::string RangeText(const element& range) {
  const array bounds(range);
  const std::string low = JsonText(bounds.at(0));
  const std::string high = JsonText(bounds.at(1));
  return low == high ? low : low + " to " + high;
}

void PrintTable(std::ostream& out, const char* title, const Table& table) {
  if (table.Empty()) return;
  out << title << '\n';
  table.Print(out, OutputFormat::kTable);
  out << '\n';
}

// Prints the array `key` of `status` as a table with the title `key`. `columns` are both the column names and
// the keys of the values.
void PrintArray(std::ostream& out, const element& status, const char* key,
                const std::vector<std::string>& columns, std::size_t first_right_aligned) {
  Table table(columns, first_right_aligned);
  for (const element entry : array(status[key])) {
    std::vector<std::string> row;
    for (const std::string& column : columns) {
      const element value = entry[column];
      row.push_back(value.is_array() ? RangeText(value) : JsonText(value));
    }
    table.AddRow(std::move(row));
  }
  PrintTable(out, key, table);
}

void PrintIdentity(std::ostream& out, const element& status) {
  out << fmt::format("relay {} of fleet {}, place {} of {}, generation {}, incarnation {}{}\n\n",
                     JsonText(status["relay"]), JsonText(status["fleet"]), JsonText(status["place"]),
                     JsonText(status["places"]), JsonText(status["generation"]),
                     JsonText(status["incarnation"]),
                     bool(status["balanced"]) ? "" : ", ACCOUNTS DO NOT BALANCE");
}

// Prints the fleet-wide connection counts: the sum first, then one row for each class and group.
void PrintTotals(std::ostream& out, const element& status) {
  Table table(
      {"class", "group", "taken", "served", "refused", "failed", "open", "oldest_ms", "widened", "unheard"},
      2);
  const auto add = [&](const std::string& class_name, const std::string& group, const element& total) {
    table.AddRow({class_name, group, RangeText(total["taken"]), RangeText(total["served"]),
                  RangeText(total["refused"]), RangeText(total["failed"]), RangeText(total["open"]),
                  JsonText(total["oldest_ms"]), JsonText(total["widened"]), JsonText(total["unheard"])});
  };
  add("all", "all", status["total"]);
  for (const element total : array(status["totals"])) {
    add(JsonText(total["class"]), JsonText(total["group"]), total);
  }
  PrintTable(out, "totals", table);
}

// Prints the health verdicts on the upstream servers: the relay's own and the evidence of its peers.
void PrintServers(std::ostream& out, const element& status) {
  Table table({"server", "own", "avoided", "ignored", "witnesses"}, Table::kNoRightAligned);
  for (const element server : array(status["servers"])) {
    std::string witnesses;
    for (const element witness : array(server["witnesses"])) {
      witnesses += fmt::format("{}{} {} ({}, {} ms ago)", witnesses.empty() ? "" : ", ",
                               JsonText(witness["by"]), JsonText(witness["verdict"]),
                               JsonText(witness["observations"]), JsonText(witness["age_ms"]));
    }
    table.AddRow({JsonText(server["server"]), JsonText(server["own"]), JsonText(server["avoided"]),
                  JsonText(server["ignored"]), witnesses});
  }
  PrintTable(out, "servers", table);
}

}  // namespace

std::string JsonText(const element& value) {
  if (value.is_null()) return "unknown";
  if (value.is_string()) return std::string(std::string_view(value));
  return simdjson::minify(value);
}

void PrintFleetStatus(std::ostream& out, const element& status) {
  PrintIdentity(out, status);
  PrintArray(out, status, "members",
             {"name", "standing", "since_ms", "answered_ms", "generation", "incarnation", "lives", "twins",
              "places"},
             2);
  PrintArray(out, status, "budgets",
             {"budget", "units", "share", "available", "used", "lent", "borrowed", "excess", "whole"}, 1);
  PrintArray(out, status, "leases", {"way", "budget", "with", "units", "ends_ms", "ended"}, 3);
  PrintTotals(out, status);
  PrintArray(out, status, "parts", {"name", "generation", "version", "age_ms", "over", "taken", "open"}, 1);
  PrintServers(out, status);
  PrintArray(out, status, "distrusted", {"name", "why"}, Table::kNoRightAligned);
  out << "ignored datagrams: " << simdjson::minify(element(status["ignored"])) << '\n';
}

}  // namespace stoatrun::cli
