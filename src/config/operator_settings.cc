#include "config/operator_settings.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/message.h>
#include <google/protobuf/text_format.h>

#include <variant>

#include "config/json_section.h"
#include "config/settings_file.h"
#include "operator.pb.h"

namespace sorrelwood {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// Only rejects typing errors.
constexpr double kMaxSeconds = 1e7;
// Prevents settings that would delay moves without end or start them too fast.
constexpr double kMaxSpreadDelayS = 3600;
constexpr double kMaxMovesPerMinute = 100000;

// A number field of a message in operator.proto and the member that it sets.
template <typename Settings>
struct NumberField {
  const char* name;
  std::variant<double Settings::*, int Settings::*> member;
  NumberRange range;
};

using Policy = PolicySettings;
using Spread = SpreadSettings;

constexpr NumberField<Policy> kWaitingPolicyFields[] = {
    {"speculation_s", &Policy::speculation_limit_s, {1, kMaxSeconds}},
    {"wait_limit_s", &Policy::wait_limit_s, {1, kMaxSeconds}},
    {"refit_s", &Policy::predictor_fit_interval_s, {1, kMaxSeconds}},
    {"tree_depth", &Policy::tree_depth, {1, 12}},
    {"tree_leaf_samples", &Policy::tree_min_leaf_samples, {1, 1000}},
    {"tree_count", &Policy::tree_count, {1, 50}},
    {"tree_samples", &Policy::tree_max_samples, {10, 20000}}};

constexpr NumberField<Policy> kFleetFields[] = {
    {"hold_s", &Policy::idle_release_delay_s, {0, kMaxSeconds}},
    {"drain_s", &Policy::backlog_limit_s, {1, kMaxSeconds}},
    {"dear_drain_s", &Policy::premium_backlog_limit_s, {1, kMaxSeconds}},
    {"base_share", &Policy::baseline_initial_share, {0, 10}}};

constexpr NumberField<Spread> kLoadSpreadFields[] = {
    {"headroom", &Spread::headroom, {0.05, 4}},
    {"begin_imbalance", &Spread::start_imbalance, {0.01, 1}},
    {"end_imbalance", &Spread::stop_imbalance, {0, 1}},
    {"lasting_s", &Spread::min_imbalance_duration_s, {1, kMaxSpreadDelayS}},
    {"pause_s", &Spread::cooldown_s, {10, kMaxSpreadDelayS}},
    {"moves_per_minute", &Spread::moves_per_minute, {1, kMaxMovesPerMinute}},
    {"team_moves_per_minute",
     &Spread::team_moves_per_minute,
     {1, kMaxMovesPerMinute}},
    {"job_moves_per_minute",
     &Spread::job_moves_per_minute,
     {1, kMaxMovesPerMinute}},
    {"hold_place_s", &Spread::reservation_timeout_s, {2, 120}},
    {"most_fetches", &Spread::max_concurrent_fetches, {1, 100}}};

double GetNumber(const Message& message, const FieldDescriptor* field) {
  const google::protobuf::Reflection* reflection = message.GetReflection();
  if (field->cpp_type() == FieldDescriptor::CPPTYPE_INT32)
    return reflection->GetInt32(message, field);
  return reflection->GetDouble(message, field);
}

// Sets the members whose fields are present, and reports those outside their
// ranges. `section` names the message in errors.
template <typename Settings, size_t N>
void ReadNumbers(const Message& message, const std::string& section,
                 const NumberField<Settings> (&fields)[N],
                 SettingsErrorCollector* errors, Settings* settings) {
  for (const NumberField<Settings>& field : fields) {
    const FieldDescriptor* descriptor =
        message.GetDescriptor()->FindFieldByName(field.name);
    if (!message.GetReflection()->HasField(message, descriptor)) continue;
    const double number = GetNumber(message, descriptor);
    if (!field.range.Contains(number)) {
      errors->Report(section + "." + field.name,
                     "must be " + field.range.Describe() + ", got " +
                         FormatNumber(number));
      continue;
    }
    std::visit(
        [&](auto member) {
          using Value = std::decay_t<decltype(settings->*member)>;
          settings->*member = static_cast<Value>(number);
        },
        field.member);
  }
}

void ReadFleet(const config::Fleet& fleet, SettingsErrorCollector* errors,
               PolicySettings* settings) {
  ReadNumbers(fleet, "fleet", kFleetFields, errors, settings);
  if (fleet.has_use_spot()) settings->use_spot = fleet.use_spot();
}

void ReadLoadSpread(const config::LoadSpread& spread,
                    SettingsErrorCollector* errors, SpreadSettings* settings) {
  settings->placement = spread.placement();
  settings->moves = spread.moves();
  ReadNumbers(spread, "load_spread", kLoadSpreadFields, errors, settings);
  // Without hysteresis moves would start and stop in quick alternation.
  if (settings->stop_imbalance >= settings->start_imbalance)
    errors->Report("load_spread.end_imbalance",
                   "must be less than begin_imbalance (" +
                       FormatNumber(settings->start_imbalance) + "), got " +
                       FormatNumber(settings->stop_imbalance));
}

// Keeps the first syntax error with its line and column.
class SyntaxErrorCollector : public google::protobuf::io::ErrorCollector {
 public:
  // The library counts `line` and `column` from 0.
  void AddError(int line, google::protobuf::io::ColumnNumber column,
                const std::string& message) override {
    errors_.Report("", "line " + std::to_string(line + 1) + ", column " +
                           std::to_string(column + 1) + ": " + message);
  }
  SettingsError first() const {
    return errors_.first().value_or(SettingsError());
  }

 private:
  SettingsErrorCollector errors_;
};

}  // namespace

SettingsResult<PolicySettings> ParseOperatorSettings(const std::string& text) {
  config::OperatorSettings parsed;
  google::protobuf::TextFormat::Parser parser;
  SyntaxErrorCollector syntax_errors;
  parser.RecordErrorsTo(&syntax_errors);
  if (!parser.ParseFromString(text, &parsed))
    return tl::unexpected(syntax_errors.first());
  SettingsErrorCollector errors;
  PolicySettings settings;
  ReadNumbers(parsed.waiting_policy(), "waiting_policy", kWaitingPolicyFields,
              &errors, &settings);
  ReadFleet(parsed.fleet(), &errors, &settings);
  ReadLoadSpread(parsed.load_spread(), &errors, &settings.spread);
  if (errors.first()) return tl::unexpected(*errors.first());
  return settings;
}

SettingsResult<PolicySettings> LoadOperatorSettings(const std::string& path) {
  return LoadSettingsFile(path, &ParseOperatorSettings);
}

}  // namespace sorrelwood
