// Tests of the operator file (error messages, changes applied by a reload) and of the escaping of JSON log
// records.
#include "config/operator_file.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

#include "base/log.h"

namespace stoatrun {
namespace {

TEST_CASE("an error in the operator file is reported with line, column and field") {
  const auto error = [](const char* text) -> std::string {
    try {
      ParseOperatorText(text, "f");
    } catch (const OperatorFileError& e) {
      return e.what();
    }
    return "none";
  };
  CHECK(error("log {\n  level: DEBUG\n}") == "none");
  CHECK_THAT(error("log {\n  levle: DEBUG\n}"), Catch::StartsWith("f:2:8: ") && Catch::Contains("levle"));
  CHECK_THAT(error("log {\n  level: LOUD\n}"), Catch::StartsWith("f:2:10: ") && Catch::Contains("LOUD"));
  CHECK_THAT(error("log {\n"), Catch::StartsWith("f:2:1: "));
  CHECK_THAT(error("log { level: DEBUG level: INFO }"), Catch::Contains("level"));
}

TEST_CASE("all errors in the fleet section are reported, each at its position") {
  const auto error = [](const std::string& peers) -> std::string {
    try {
      ParseOperatorText("fleet {\n  name: \"f\" places: 2\n" + peers + "}", "f");
    } catch (const OperatorFileError& e) {
      return e.what();
    }
    return "none";
  };
  const std::string peer = "  peer { place: 0 name: \"n0\" address: \"127.0.0.1:1\" }\n";
  CHECK(error(peer) == "none");
  CHECK(error(peer + "  peer { place: 2 name: \"n1\" address: \"127.0.0.1:2\" }\n") ==
        "f:4:3: fleet.peer.place: 2 is out of range; the fleet has 2 places");
  CHECK(error(peer + "  peer { place: 0 name: \"n1\" address: \"127.0.0.1:2\" }\n") ==
        "f:4:3: fleet.peer.place: 0 is already used by n0");
  CHECK_THAT(error(peer + "  peer { place: 1 name: \"n0\" address: \"127.0.0.1:1\" }\n"),
             Catch::Contains("fleet.peer.name: duplicate name 'n0'") &&
                 Catch::Contains("fleet.peer.address: 127.0.0.1:1 is already used by n0"));
  CHECK_THAT(error("  budget { kind: PROBES units: 0 }\n"),
             Catch::Contains("fleet.budget.units: 0 is out of range"));
  CHECK_THAT(error("  budget { kind: PROBES units: 1 }\n  budget { kind: PROBES units: 2 }\n"),
             Catch::StartsWith("f:4:3: fleet.budget.kind: duplicate entry for PROBES"));
  CHECK_THAT(error("  peer { place: 1 name: \"n 1\" address: \"here\" }\n"),
             Catch::Contains("expected a name") && Catch::Contains("expected IP:PORT"));
}

TEST_CASE("changed fields are divided into those a reload applies and those that require a restart") {
  const auto base = ParseOperatorText("", "f");
  CHECK(CompareOperatorFiles(base, ParseOperatorText("log { level: INFO }", "f")).reloadable.empty());
  const auto change = CompareOperatorFiles(base, ParseOperatorText("log { level: DEBUG form: JSON }", "f"));
  CHECK(change.reloadable == std::vector<std::string>{"log.level", "log.form"});
  CHECK(change.restart_required.empty());
  CHECK_THAT(FormatOperatorFile(base), Catch::Contains("level: INFO") && Catch::Contains("form: TEXT"));
}

TEST_CASE("text in JSON log records is valid UTF-8 for any client input") {
  const auto json = [](std::string_view text) {
    fmt::memory_buffer out;
    AppendJsonEscaped(out, text);
    return fmt::to_string(out);
  };
  CHECK(json("a\"b\\c\n\x01") == R"(a\"b\\c\u000a\u0001)");
  CHECK(json("gr\xc3\xbc\xc3\x9f \xe2\x82\xac \xf0\x9f\x90\xa6") ==
        "gr\xc3\xbc\xc3\x9f \xe2\x82\xac \xf0\x9f\x90\xa6");
  for (const char* bad : {"\xff", "\xc0\xaf", "\xed\xa0\x80", "\xe2\x82", "\xf5\x80\x80\x80"}) {
    CHECK_THAT(json(bad), Catch::StartsWith("\\ufffd"));
  }
}

}  // namespace
}  // namespace stoatrun
