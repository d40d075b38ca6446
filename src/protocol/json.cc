#include "protocol/json.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "base/constants.h"

namespace sorrelwood::wire {
namespace {

using nlohmann::json;

json Read(const std::string& text) {
  return json::parse(text, nullptr, /*allow_exceptions=*/false);
}

std::string Write(const json& value) {
  // Bytes that are not UTF-8 must not throw here: they are replaced.
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Reads fields of an object and remembers the first thing that is wrong.
class Reader {
 public:
  explicit Reader(const json& object) : object_(object) {}

  bool ok() const { return error_.empty(); }
  const std::string& error() const { return error_; }

  const json* Find(const char* name) const {
    auto it = object_.find(name);
    return it == object_.end() || it->is_null() ? nullptr : &*it;
  }
  std::string Text(const char* name, bool required = true, bool empty = false) {
    const json* field = Find(name);
    if (!field) return Missing<std::string>(name, required);
    if (!field->is_string()) return Bad<std::string>(name, "must be a string");
    auto text = field->get<std::string>();
    if (text.empty() && !empty) Bad<int>(name, "must not be empty");
    if (text.size() > kMaxIdLength) Bad<int>(name, "is too long");
    return text;
  }
  double Number(const char* name, double least, bool required = true) {
    const json* field = Find(name);
    if (!field) return Missing<double>(name, required);
    if (!field->is_number()) return Bad<double>(name, "must be a number");
    const double number = field->get<double>();
    if (!std::isfinite(number) || number < least || number > 1e12)
      return Bad<double>(name, "is out of range");
    return number;
  }
  uint64_t Count(const char* name, bool required = true) {
    const json* field = Find(name);
    if (!field) return Missing<uint64_t>(name, required);
    if (field->is_number_unsigned()) return field->get<uint64_t>();
    // A whole number written as a decimal, such as 16.0.
    if (field->is_number_float()) {
      const double number = field->get<double>();
      if (number >= 0 && number <= 9e15 && number == std::floor(number))
        return static_cast<uint64_t>(number);
    }
    return Bad<uint64_t>(name, "must be a whole number, 0 or more");
  }
  bool Flag(const char* name, bool required = true) {
    const json* field = Find(name);
    if (!field) return Missing<bool>(name, required);
    if (!field->is_boolean()) return Bad<bool>(name, "must be true or false");
    return field->get<bool>();
  }
  std::vector<std::string> Texts(const char* name) {
    std::vector<std::string> texts;
    const json* field = Find(name);
    if (!field) return texts;
    if (!field->is_array()) {
      Bad<int>(name, "must be a list of strings");
      return texts;
    }
    for (const auto& item : *field) {
      if (!item.is_string()) {
        Bad<int>(name, "must be a list of strings");
        break;
      }
      texts.push_back(item.get<std::string>());
    }
    return texts;
  }
  template <typename T>
  T Bad(const char* name, const char* what) {
    if (error_.empty()) error_ = std::string(name) + " " + what;
    return T();
  }

 private:
  template <typename T>
  T Missing(const char* name, bool required) {
    return required ? Bad<T>(name, "is missing") : T();
  }
  const json& object_;
  std::string error_;
};

std::string PriorityName(Priority priority) {
  switch (priority) {
    case Priority::kProduction: return "prod";
    case Priority::kHigh: return "high";
    case Priority::kStandard: return "standard";
    case Priority::kLow: return "low";
  }
  return "standard";
}

std::string ShapeName(JobShape shape) {
  switch (shape) {
    case JobShape::kArray: return "sweep";
    case JobShape::kService: return "daemon";
  }
  return "sweep";
}

bool ParseShape(const std::string& name, JobShape* shape) {
  for (JobShape s : {JobShape::kArray, JobShape::kService}) {
    if (ShapeName(s) != name) continue;
    *shape = s;
    return true;
  }
  return false;
}

bool ParsePriority(const std::string& name, Priority* priority) {
  for (Priority p : {Priority::kLow, Priority::kStandard, Priority::kHigh,
                     Priority::kProduction}) {
    if (PriorityName(p) != name) continue;
    *priority = p;
    return true;
  }
  return false;
}

// Of a submission only what may be null may be left out. Records are read as
// leniently as they were ever written: an empty field is left out there.
bool ReadSpec(const json& object, bool submission, JobSpec* spec,
              std::string* error) {
  Reader r(object);
  spec->id = r.Text("uid");
  if (r.ok() && !ValidJobId(spec->id)) r.Bad<int>("uid", "is not a job id");
  spec->job_class = r.Text("roster");
  spec->team = r.Text("crew");
  const std::string shape = r.Text("shape");
  if (r.ok() && !ParseShape(shape, &spec->shape))
    r.Bad<int>("shape", "must be sweep or daemon");
  const std::string priority = r.Text("urgency");
  if (r.ok() && !ParsePriority(priority, &spec->priority))
    r.Bad<int>("urgency", "must be prod, high, standard or low");
  const uint64_t tasks = r.Count("parts");
  if (r.ok() && (tasks < 1 || tasks > kMaxTasks))
    r.Bad<int>("parts", "must be from 1 to 100000");
  spec->tasks = static_cast<uint32_t>(tasks);
  spec->cpus = r.Number("cores", 0);
  spec->gpus = r.Number("cards", 0, submission);
  spec->memory_gb = r.Number("memory_gb", 0);
  if (r.ok() && spec->cpus <= 0 && spec->gpus <= 0)
    r.Bad<int>("cores", "must be more than 0 where no cards are asked for");
  spec->image = r.Text("bundle", submission);
  spec->image_gb = r.Number("size_gb", 0, submission);
  spec->types = r.Texts("builds");
  if (r.ok() && r.Find("builds") && spec->types.empty())
    r.Bad<int>("builds", "must be null or name a machine type");
  spec->zone = r.Text("room", false);
  spec->one_zone = r.Flag("one_zone", submission);
  spec->spread = r.Flag("scatter", submission);
  spec->spot = r.Flag("loaners", submission);
  spec->estimate_s = r.Number("expected_s", 0, submission);
  spec->checkpoint_s = r.Number("bookmark_s", 0, submission);
  spec->save_s = r.Number("stash_s", 0, submission);
  if (r.Find("due_s")) spec->deadline_s = r.Number("due_s", 0);
  *error = r.error();
  return r.ok();
}

json WriteSpec(const JobSpec& spec) {
  json out = {{"uid", spec.id},
              {"roster", spec.job_class},
              {"crew", spec.team},
              {"shape", ShapeName(spec.shape)},
              {"urgency", PriorityName(spec.priority)},
              {"parts", spec.tasks},
              {"cores", spec.cpus},
              {"cards", spec.gpus},
              {"memory_gb", spec.memory_gb},
              {"size_gb", spec.image_gb},
              {"one_zone", spec.one_zone},
              {"scatter", spec.spread},
              {"loaners", spec.spot},
              {"expected_s", spec.estimate_s},
              {"bookmark_s", spec.checkpoint_s},
              {"stash_s", spec.save_s}};
  if (!spec.image.empty()) out["bundle"] = spec.image;
  if (!spec.types.empty()) out["builds"] = spec.types;
  if (!spec.zone.empty()) out["room"] = spec.zone;
  if (spec.deadline_s) out["due_s"] = *spec.deadline_s;
  return out;
}

// "job-000412/3" -> job and task number.
bool ParseTaskName(const std::string& name, std::string* job, uint32_t* task) {
  const size_t slash = name.rfind('/');
  if (slash == std::string::npos || slash == 0) return false;
  const std::string digits = name.substr(slash + 1);
  if (digits.empty() || digits.size() > 6) return false;
  uint32_t number = 0;
  for (char c : digits) {
    if (c < '0' || c > '9') return false;
    number = number * 10 + static_cast<uint32_t>(c - '0');
  }
  *job = name.substr(0, slash);
  *task = number;
  return true;
}

std::string TaskName(const std::string& job, uint32_t task) {
  return job + "/" + std::to_string(task);
}

TaskState ParseTaskState(const std::string& text) {
  if (text == "ended") return TaskState::kExited;
  if (text == "flushing") return TaskState::kSaving;
  if (text == "running") return TaskState::kRunning;
  return TaskState::kFetching;  // unknown states count as holding the machine
}

ExitReason ParseReason(const std::string& text) {
  if (text == "done") return ExitReason::kDone;
  if (text == "halted") return ExitReason::kStopped;
  if (text == "full") return ExitReason::kNoRoom;
  if (text == "in_use") return ExitReason::kBusy;
  if (text == "no_such") return ExitReason::kUnknown;
  return ExitReason::kError;
}

json WriteCommands(const std::vector<Command>& commands) {
  json list = json::array();
  for (const Command& command : commands) {
    json item = {{"part", TaskName(command.job, command.task)},
                 {"try", command.attempt}};
    switch (command.kind) {
      case CommandKind::kStart: item["verb"] = "launch"; break;
      case CommandKind::kStop:
        item["verb"] = "halt";
        item["leeway_s"] = command.grace_s;
        break;
      case CommandKind::kForget: item["verb"] = "clear"; break;
    }
    list.push_back(std::move(item));
  }
  return list;
}

KeyValue ReadItem(const json& item) {
  KeyValue out;
  out.key = item.value("k", "");
  out.version = item.value("stamp", uint64_t{0});
  auto data = item.find("data");
  if (data != item.end()) out.value = Write(*data);
  return out;
}

bool ReadMachineNames(const json& list, std::vector<std::string>* names) {
  if (!list.is_array()) return false;
  for (const auto& item : list) {
    if (!item.is_string()) return false;
    names->push_back(item.get<std::string>());
  }
  return true;
}

}  // namespace

// --- Users
// ---------------------------------------------------------------------

bool ValidJobId(const std::string& id) {
  // "unique job id, always in this form": job- and digits.
  constexpr char kPrefix[] = "job-";
  const size_t prefix = sizeof(kPrefix) - 1;
  if (id.size() <= prefix || id.size() > kMaxIdLength ||
      id.compare(0, prefix, kPrefix) != 0)
    return false;
  for (size_t i = prefix; i < id.size(); ++i)
    if (!std::isalnum(static_cast<unsigned char>(id[i])) && id[i] != '-')
      return false;
  return true;
}

bool ParseSubmission(const std::string& body, JobSpec* spec,
                     std::string* error) {
  const json object = Read(body);
  if (object.is_discarded()) {
    *error = "the body is not JSON";
    return false;
  }
  if (!object.is_object()) {
    *error = "the body is not a JSON object";
    return false;
  }
  return ReadSpec(object, /*submission=*/true, spec, error);
}

std::string EncodeStatus(const std::string& id, const std::string& status) {
  return Write({{"uid", id}, {"status", status}});
}

std::string EncodeStatus(const std::string& id, const std::string& status,
                         uint32_t done, uint32_t running) {
  return Write(
      {{"uid", id}, {"status", status}, {"done", done}, {"running", running}});
}

std::string EncodeError(const std::string& message) {
  return Write({{"error", message}});
}

// --- Workers
// -------------------------------------------------------------------

bool ParseHeartbeat(const std::string& body, Heartbeat* heartbeat,
                    std::string* error) {
  const json object = Read(body);
  if (!object.is_object()) {
    *error = "the body is not a JSON object";
    return false;
  }
  Reader r(object);
  heartbeat->machine = r.Text("perch");
  heartbeat->address = r.Text("endpoint", false);
  heartbeat->type = r.Text("build");
  heartbeat->zone = r.Text("room");
  heartbeat->spot = r.Flag("loaners", false);
  heartbeat->incarnation = r.Count("shift");
  heartbeat->sequence = r.Count("tick");
  heartbeat->fencing_token = r.Count("baton", false);
  if (r.Find("warning_s"))
    heartbeat->preemption_notice_s = r.Number("warning_s", -1e9);
  const json* tasks = r.Find("parts");
  if (tasks && !tasks->is_array()) r.Bad<int>("parts", "must be a list");
  if (r.ok() && tasks) {
    for (const json& item : *tasks) {
      if (!item.is_object()) {
        r.Bad<int>("parts", "must hold objects");
        break;
      }
      Reader t(item);
      TaskStatus task;
      if (!ParseTaskName(t.Text("part"), &task.job, &task.task)) {
        r.Bad<int>("part", "is not a task's name");
        break;
      }
      task.attempt = t.Count("try");
      task.state = ParseTaskState(t.Text("status"));
      if (task.state == TaskState::kExited)
        task.reason = ParseReason(t.Text("cause", false, true));
      task.saved = t.Flag("saved", false);
      if (!t.ok()) {
        *error = t.error();
        return false;
      }
      heartbeat->tasks.push_back(std::move(task));
    }
  }
  *error = r.error();
  return r.ok();
}

std::string EncodeHeartbeatResponse(const HeartbeatResponse& answer) {
  if (answer.status == 200)
    return Write({{"baton", answer.fencing_token},
                  {"orders", WriteCommands(answer.commands)}});
  if (answer.status == 421)
    return answer.redirect.empty() ? "{}"
                                   : Write({{"steward", answer.redirect}});
  return EncodeError("not able to answer workers now");
}

std::string EncodePushedCommands(const PushedCommands& command) {
  return Write({{"baton", command.fencing_token},
                {"shift", command.incarnation},
                {"orders", WriteCommands(command.commands)}});
}

// --- Cloud
// ---------------------------------------------------------------------

std::string EncodeRent(const ProvisioningRecord& rent) {
  return Write({{"hire", rent.name},
                {"build", rent.type},
                {"room", rent.zone},
                {"loaners", rent.spot},
                {"number", rent.count}});
}

std::string EncodeRelease(const std::vector<std::string>& machines) {
  return Write({{"perches", machines}});
}

bool ParseCatalog(const std::string& body, std::vector<MachineType>* types) {
  const json object = Read(body);
  if (!object.is_object()) return false;
  auto list = object.find("builds");
  if (list == object.end() || !list->is_array()) return false;
  for (const json& item : *list) {
    if (!item.is_object()) return false;
    Reader r(item);
    MachineType type;
    type.name = r.Text("name");
    type.cpus = r.Number("cores", 0);
    type.gpus = r.Number("cards", 0, false);
    type.memory_gb = r.Number("memory_gb", 0);
    type.cache_gb = r.Number("cache_gb", 0, false);
    type.fetch_gb_per_s = r.Number("pull_gb_per_s", 0, false);
    type.price = r.Number("price", 0);
    type.spot_price =
        r.Find("spot_price") ? r.Number("spot_price", 0) : type.price;
    type.boot_s = r.Number("ready_s", 0);
    type.zones = r.Texts("rooms");
    if (!r.ok()) return false;
    types->push_back(std::move(type));
  }
  return !types->empty();
}

bool ParseMachineNames(const std::string& body,
                       std::vector<std::string>* names) {
  const json object = Read(body);
  if (!object.is_object() || !object.contains("perches")) return false;
  return ReadMachineNames(object["perches"], names);
}

bool ParseMachineList(const std::string& body, std::vector<ListedMachine>* list,
                      bool* more) {
  const json object = Read(body);
  if (!object.is_object()) return false;
  Reader top(object);
  *more = top.Flag("has_next", false);
  const json* items = top.Find("perches");
  if (!items || !items->is_array() || !top.ok()) return false;
  for (const json& item : *items) {
    if (!item.is_object()) return false;
    Reader r(item);
    ListedMachine machine;
    machine.name = r.Text("uid");
    machine.address = r.Text("endpoint", false);
    machine.type = r.Text("build");
    machine.zone = r.Text("room");
    machine.spot = r.Flag("loaners", false);
    const std::string status = r.Text("status");
    machine.status = status == "running"  ? MachineStatus::kRunning
                     : status == "failed" ? MachineStatus::kFailed
                                          : MachineStatus::kBooting;
    machine.age_s = r.Number("held_s", 0, false);
    if (!r.ok()) return false;
    list->push_back(std::move(machine));
  }
  return true;
}

// --- State service
// ---------------------------------------------------------------

std::string EncodeTransaction(const StateTransaction& transaction) {
  json preconditions = json::array();
  for (const Precondition& guard : transaction.preconditions)
    preconditions.push_back({{"k", guard.key}, {"stamp", guard.version}});
  json out = {{"guards", std::move(preconditions)}};
  if (!transaction.mutations.empty()) {
    json mutations = json::array();
    for (const Mutation& op : transaction.mutations) {
      if (op.remove) {
        mutations.push_back({{"remove", op.key}});
        continue;
      }
      json item = {{"set", op.key}, {"data", Read(op.value)}};
      if (op.lease != 0) item["hold"] = op.lease;
      mutations.push_back(std::move(item));
    }
    out["then"] = std::move(mutations);
  }
  return Write(out);
}

std::string EncodeLease(double ttl_s) {
  return Write({{"ttl_ms", static_cast<int64_t>(ttl_s * 1000)}});
}

bool ParseRevision(const std::string& body, StateResult* result) {
  const json object = Read(body);
  if (!object.is_object()) return false;
  Reader r(object);
  result->revision = r.Count("epoch");
  result->failed = r.Texts("failed");
  return r.ok();
}

bool ParseItem(const std::string& body, StateResult* result) {
  const json object = Read(body);
  if (!object.is_object() || !object.contains("k")) return false;
  result->items.push_back(ReadItem(object));
  return true;
}

bool ParseItems(const std::string& body, StateResult* result, bool* more) {
  const json object = Read(body);
  if (!object.is_object()) return false;
  Reader r(object);
  *more = r.Flag("has_next", false);
  result->revision = r.Count("epoch");
  const json* items = r.Find("pairs");
  if (!r.ok() || !items || !items->is_array()) return false;
  for (const json& item : *items) {
    if (!item.is_object()) return false;
    result->items.push_back(ReadItem(item));
  }
  return true;
}

bool ParseLease(const std::string& body, StateResult* result) {
  const json object = Read(body);
  if (!object.is_object()) return false;
  Reader r(object);
  result->lease = r.Count("hold");
  return r.ok();
}

bool ParseEvents(const std::string& body, StateResult* result) {
  const json object = Read(body);
  if (!object.is_object()) return false;
  Reader r(object);
  result->revision = r.Count("epoch");
  const json* events = r.Find("news");
  if (!r.ok()) return false;
  if (!events) return true;
  if (!events->is_array()) return false;
  for (const json& item : *events) {
    if (!item.is_object()) return false;
    Reader e(item);
    KeyValue change;
    change.version = e.Count("stamp");
    if (e.Find("remove")) {
      change.removed = true;
      change.key = e.Text("remove");
    } else {
      change.key = e.Text("set");
      if (const json* data = e.Find("data")) change.value = Write(*data);
    }
    if (!e.ok()) return false;
    result->items.push_back(std::move(change));
  }
  return true;
}

// --- Our own records
// ---------------------------------------------------------------

std::string EncodeLiveJob(const LiveJob& job) {
  return Write({{"spec", WriteSpec(job.spec)}, {"at", job.submitted_wall_s}});
}

bool ParseLiveJob(const std::string& text, LiveJob* job) {
  const json object = Read(text);
  if (!object.is_object() || !object.contains("spec")) return false;
  Reader r(object);
  job->submitted_wall_s = r.Number("at", 0);
  std::string error;
  return r.ok() && object["spec"].is_object() &&
         ReadSpec(object["spec"], /*submission=*/false, &job->spec, &error);
}

std::string EncodeFinal(FinalState state) {
  return state == FinalState::kDone ? "\"done\"" : "\"cancelled\"";
}

bool ParseFinal(const std::string& text, FinalState* state) {
  if (text != "\"done\"" && text != "\"cancelled\"") return false;
  *state = text == "\"done\"" ? FinalState::kDone : FinalState::kCancelled;
  return true;
}

std::string EncodeLeader(const LeaderRecord& leader) {
  return Write({{"node", leader.node}, {"term", leader.term}});
}

bool ParseLeader(const std::string& text, LeaderRecord* leader) {
  const json object = Read(text);
  if (!object.is_object()) return false;
  Reader r(object);
  leader->node = r.Text("node");
  leader->term = r.Count("term");
  return r.ok();
}

std::string EncodeTerm(uint64_t term) { return Write({{"term", term}}); }

bool ParseTerm(const std::string& text, uint64_t* term) {
  const json object = Read(text);
  if (!object.is_object()) return false;
  Reader r(object);
  *term = r.Count("term");
  return r.ok();
}

std::string EncodeProvisioningRecord(const ProvisioningRecord& rent) {
  return Write({{"name", rent.name},
                {"type", rent.type},
                {"zone", rent.zone},
                {"spot", rent.spot},
                {"count", rent.count},
                {"answered", rent.answered},
                {"machines", rent.machines}});
}

bool ParseProvisioningRecord(const std::string& text,
                             ProvisioningRecord* rent) {
  const json object = Read(text);
  if (!object.is_object()) return false;
  Reader r(object);
  rent->name = r.Text("name");
  rent->type = r.Text("type");
  rent->zone = r.Text("zone");
  rent->spot = r.Flag("spot");
  rent->count = static_cast<int>(r.Count("count"));
  rent->answered = r.Flag("answered");
  rent->machines = r.Texts("machines");
  return r.ok();
}

std::string EncodeMachineRecord(const MachineRecord& machine) {
  return Write({{"name", machine.name},
                {"type", machine.type},
                {"zone", machine.zone},
                {"address", machine.address},
                {"spot", machine.spot}});
}

bool ParseMachineRecord(const std::string& text, MachineRecord* machine) {
  const json object = Read(text);
  if (!object.is_object()) return false;
  Reader r(object);
  machine->name = r.Text("name");
  machine->type = r.Text("type");
  machine->zone = r.Text("zone");
  machine->address = r.Text("address", false);
  machine->spot = r.Flag("spot");
  return r.ok();
}

std::string EncodeCompletions(const CompletionRecord& record) {
  if (!record.first_task) return Write(record.bits_hex);
  return Write({{"from", *record.first_task}, {"bits", record.bits_hex}});
}

bool ParseCompletions(const std::string& text, CompletionRecord* record) {
  const json value = Read(text);
  record->first_task.reset();
  if (value.is_string()) {
    record->bits_hex = value.get<std::string>();
  } else if (value.is_object()) {
    Reader r(value);
    const uint64_t first = r.Count("from");
    const json* bits = r.Find("bits");
    if (!r.ok() || first >= kMaxTasks || !bits || !bits->is_string())
      return false;
    record->first_task = static_cast<uint32_t>(first);
    record->bits_hex = bits->get<std::string>();
  } else {
    return false;
  }
  return record->bits_hex.find_first_not_of("0123456789abcdef") ==
         std::string::npos;
}

}  // namespace sorrelwood::wire
