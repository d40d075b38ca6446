// Compares the log messages in the code with those in the runbook.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace sorrelwood::test {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Joins adjacent string literals, which are one text.
std::string JoinLiterals(const std::string& code) {
  return std::regex_replace(code, std::regex("\"\\s*\""), "");
}

// Returns the messages of the info and error events that `code` logs.
std::set<std::string> FindLoggedMessages(const std::string& code) {
  static const std::regex kCall(
      "(?:->|\\.|::)(?:Info|Error|info|error)\\(\\s*"
      "(?:[a-z_]+ \\? )?\"([^\"]+)\"(?:\\s*:\\s*\"([^\"]+)\")?");
  std::set<std::string> messages;
  for (std::sregex_iterator call(code.begin(), code.end(), kCall), end;
       call != end; ++call) {
    for (size_t group = 1; group < call->size(); ++group)
      if ((*call)[group].matched) messages.insert((*call)[group]);
  }
  messages.erase("{}");  // the text of this line is composed elsewhere
  return messages;
}

std::set<std::string> ReadMessagesOfCode() {
  std::set<std::string> messages;
  const std::filesystem::path sources =
      std::filesystem::path(SORRELWOOD_SOURCE_DIR) / "src";
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(sources)) {
    if (entry.path().extension() != ".cc") continue;
    messages.merge(FindLoggedMessages(JoinLiterals(ReadFile(entry.path()))));
  }
  return messages;
}

// Returns the first column of the table in the section "Log lines".
std::set<std::string> ReadMessagesOfRunbook() {
  const std::string page = ReadFile(
      std::filesystem::path(SORRELWOOD_SOURCE_DIR) / "docs" / "operations.md");
  const size_t begin = page.find("## Log lines");
  if (begin == std::string::npos) return {};
  const std::string section =
      page.substr(begin, page.find("\n## ", begin + 1) - begin);
  static const std::regex kRow("\n\\| `([^`]+)`");
  std::set<std::string> messages;
  for (std::sregex_iterator row(section.begin(), section.end(), kRow), end;
       row != end; ++row)
    messages.insert((*row)[1]);
  return messages;
}

std::set<std::string> Difference(const std::set<std::string>& left,
                                 const std::set<std::string>& right) {
  std::set<std::string> result;
  std::set_difference(left.begin(), left.end(), right.begin(), right.end(),
                      std::inserter(result, result.end()));
  return result;
}

TEST(Runbook, ExplainsEveryInfoAndErrorLine) {
  const std::set<std::string> logged = ReadMessagesOfCode();
  ASSERT_GT(logged.size(), 10u);
  EXPECT_EQ(Difference(logged, ReadMessagesOfRunbook()),
            std::set<std::string>())
      << "logged, but not in docs/operations.md, \"Log lines\"";
}

TEST(Runbook, NamesNoLineThatIsNotLogged) {
  const std::set<std::string> explained = ReadMessagesOfRunbook();
  ASSERT_GT(explained.size(), 10u);
  EXPECT_EQ(Difference(explained, ReadMessagesOfCode()),
            std::set<std::string>())
      << "in docs/operations.md, \"Log lines\", but not logged";
}

}  // namespace
}  // namespace sorrelwood::test
