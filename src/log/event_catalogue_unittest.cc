#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

namespace {

std::string ReadText(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::set<std::string> FindAll(const std::string& text,
                              const std::regex& pattern) {
  std::set<std::string> found;
  for (std::sregex_iterator it(text.begin(), text.end(), pattern), end;
       it != end; ++it)
    found.insert((*it)[1].str() + " " + (*it)[2].str());
  return found;
}

}  // namespace

TEST_GROUP(EventCatalogue){};

// Guards against events that operators cannot look up, and against catalogue
// rows whose event no longer exists.
TEST(EventCatalogue, CodeAndCatalogueAgree) {
  const std::filesystem::path root = COLTSFOOTVANE_SOURCE_DIR;
  const std::regex in_code(
      R"(Event\s+k\w+\s*\{\s*(\d{4}),\s*Severity::k\w+,\s*"([a-z0-9-]+)\")");
  const std::regex in_catalogue(R"(\|\s*(\d{4})\s*\|\s*`([a-z0-9-]+)`)");
  std::set<std::string> declared;
  std::map<std::string, int> uses;
  for (const char* folder : {"src", "app", "platform"}) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(root / folder)) {
      if (entry.path().extension() != ".h")
        continue;
      for (const std::string& event :
           FindAll(ReadText(entry.path()), in_code)) {
        declared.insert(event);
        ++uses[event.substr(0, 4)];
      }
    }
  }
  const std::set<std::string> catalogued =
      FindAll(ReadText(root / "docs" / "EVENTS.md"), in_catalogue);
  for (const std::string& event : declared)
    CHECK_TEXT(catalogued.count(event) == 1,
               ("not in docs/EVENTS.md: " + event).c_str());
  for (const std::string& event : catalogued)
    CHECK_TEXT(declared.count(event) == 1,
               ("not declared in code: " + event).c_str());
  for (const auto& [number, count] : uses)
    CHECK_TEXT(count == 1, ("number used twice: " + number).c_str());
}
