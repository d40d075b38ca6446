#include "config/json_section.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

#include "http/endpoint.h"

namespace sorrelwood {

using nlohmann::json;

JsonSection JsonSection::Section(const char* name) const {
  const json* found = Find(name);
  if (!found || !found->is_object()) {
    Report(name, "must be an object");
    found = nullptr;
  }
  return {found, FieldPath(name), errors_};
}

std::vector<JsonSection> JsonSection::Sections(const char* name) const {
  std::vector<JsonSection> sections;
  const json* found = Find(name);
  if (!found) return sections;
  if (!found->is_array()) {
    Report(name, "must be a list");
    return sections;
  }
  int index = 0;
  for (const json& item : *found) {
    const std::string path =
        FieldPath(name) + "[" + std::to_string(index++) + "]";
    if (!item.is_object()) errors_->Report(path, "must be an object");
    sections.emplace_back(item.is_object() ? &item : nullptr, path, errors_);
  }
  return sections;
}

std::string JsonSection::Text(const char* name) const {
  const json* found = Find(name);
  if (found && found->is_string() && !found->get<std::string>().empty())
    return found->get<std::string>();
  Report(name, "must be a string, not empty");
  return "";
}

std::string JsonSection::OptionalText(const char* name) const {
  return Has(name) ? Text(name) : std::string();
}

std::string JsonSection::Address(const char* name) const {
  std::string text = Text(name);
  Endpoint endpoint;
  if (!text.empty() && !ParseEndpoint(text, &endpoint))
    Report(name, "must be an IPv4 address and a port");
  return text;
}

double JsonSection::Number(const char* name, const NumberRange& range) const {
  const json* found = Find(name);
  if (found && found->is_number()) {
    const double number = found->get<double>();
    if (range.Contains(number)) return number;
  }
  std::ostringstream reason;
  reason << "must be a number from " << range.min << " to " << range.max;
  Report(name, reason.str());
  return range.min;
}

double JsonSection::OptionalNumber(const char* name, const NumberRange& range,
                                   double fallback) const {
  return Has(name) ? Number(name, range) : fallback;
}

int JsonSection::Count(const char* name, const NumberRange& range) const {
  return static_cast<int>(Number(name, range));
}

void JsonSection::Report(const char* name, const std::string& reason) const {
  errors_->Report(FieldPath(name), reason);
}

JsonSection JsonSection::WithErrors(SettingsErrorCollector* errors) const {
  return {object_, path_, errors};
}

const json* JsonSection::Find(const char* name) const {
  if (!object_) return nullptr;
  auto it = object_->find(name);
  return it == object_->end() || it->is_null() ? nullptr : &*it;
}

std::string JsonSection::FieldPath(const char* name) const {
  return path_.empty() ? name : path_ + "." + name;
}

}  // namespace sorrelwood
