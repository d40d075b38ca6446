// A state service in memory that carries out each request, and answers it, when
// the test says so. Tests choose with it in which order answers arrive.
// Listings have two pages: the first is read when the request is carried out,
// the second when it is answered.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/coordination/keys.h"
#include "core/engine/actions.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood::test {

class ManualStateService {
 public:
  struct Request {
    // The kind of request and its key or prefix, such as "get sw/term".
    std::string name;
    Action action;
    std::optional<StateResult> result;  // once it is carried out
  };
  using Requests = std::list<Request>;

  // Changes that are kept for watches. A watch that needs older ones is
  // answered 410.
  explicit ManualStateService(size_t kept_changes = 100000)
      : kept_changes_(kept_changes) {}

  // Stores the request; false if the action is none.
  bool Send(const Action& action) {
    const std::string name =
        std::visit([](const auto& item) { return NameOf(item); }, action);
    if (name.empty()) return false;
    requests_.push_back({name, action, std::nullopt});
    return true;
  }

  Requests& requests() { return requests_; }
  // The oldest request of this name; null: none.
  Request* Find(const std::string& name) {
    for (Request& request : requests_)
      if (request.name == name) return &request;
    return nullptr;
  }

  // Carries the request out now, once.
  void CarryOut(Request* request) {
    if (request->result) return;
    request->result = std::visit(
        [this](const auto& item) { return Serve(item); }, request->action);
  }
  // Whether a watch would wait, because nothing has changed.
  bool IsWaiting(const Request& request) const {
    const auto* watch = std::get_if<StateWatch>(&request.action);
    return watch && !request.result && watch->after >= last_change_ &&
           watch->after >= oldest_watch_;
  }
  // Removes the request and returns its answer.
  StateResult TakeAnswer(Request* request) {
    CarryOut(request);
    StateResult result = *request->result;
    if (const auto* list = std::get_if<StateList>(&request->action))
      AddSecondPage(*list, &result);
    Drop(request);
    return result;
  }

  // Removes the request, which is then never carried out.
  void Drop(Request* request) {
    requests_.remove_if([request](const Request& r) { return &r == request; });
  }

  // Commits by other controllers.
  void SubmitJob(const LiveJob& job) {
    ++revision_;
    Put(keys::ForLiveJob(job.spec.id), protocol::EncodeLiveJob(job));
  }
  void EndJob(const std::string& id, FinalState state) {
    ++revision_;
    Remove(keys::ForLiveJob(id));
    Put(keys::ForFinalState(id), protocol::EncodeFinalState(state));
  }
  // Stores that the job's only task is done. The next leader ends the job.
  void CompleteOnlyTask(const std::string& id) {
    ++revision_;
    CompletionRecord record;
    record.bits_hex = "1";
    Put(keys::ForCompletions(id, /*chunk=*/0),
        protocol::EncodeCompletionRecord(record));
  }
  void SetLeader(const LeaderRecord& leader) {
    ++revision_;
    Put(keys::kLeader, protocol::EncodeLeaderRecord(leader));
  }
  void RemoveLeader() {
    ++revision_;
    Remove(keys::kLeader);
  }
  bool Has(const std::string& key) const { return entries_.count(key) > 0; }
  uint64_t revision() const { return revision_; }

 private:
  struct Entry {
    std::string value;
    uint64_t version = 0;
  };

  template <typename Item>
  static std::string NameOf(const Item&) {
    return "";
  }
  static std::string NameOf(const StateGet& get) { return "get " + get.key; }
  static std::string NameOf(const StateList& list) {
    return "list " + list.prefix;
  }
  static std::string NameOf(const StateWatch&) { return "watch"; }
  static std::string NameOf(const StateTransaction& transaction) {
    return "transact " + transaction.preconditions.at(0).key;
  }
  static std::string NameOf(const LeaseCreate&) { return "create lease"; }
  static std::string NameOf(const LeaseRenew&) { return "renew lease"; }

  StateResult MakeResult(uint64_t id, Outcome outcome = Outcome::kOk) const {
    StateResult result;
    result.id = id;
    result.outcome = outcome;
    result.revision = revision_;
    return result;
  }
  template <typename Item>
  StateResult Serve(const Item&) {
    return StateResult();
  }
  StateResult Serve(const StateGet& get) {
    const auto entry = entries_.find(get.key);
    if (entry == entries_.end()) return MakeResult(get.id, Outcome::kConflict);
    StateResult result = MakeResult(get.id);
    result.items = {
        {get.key, entry->second.value, entry->second.version, false}};
    return result;
  }
  StateResult Serve(const StateList& list) {
    StateResult result = MakeResult(list.id);
    result.items = ReadAfter(list.prefix, "");
    result.items.resize((result.items.size() + 1) / 2);
    return result;
  }
  // The result keeps the revision of the first page.
  void AddSecondPage(const StateList& list, StateResult* result) const {
    if (result->items.empty()) return;
    std::vector<KeyValue> page =
        ReadAfter(list.prefix, result->items.back().key);
    std::move(page.begin(), page.end(), std::back_inserter(result->items));
  }
  // The entries with the prefix whose keys follow `last_key`.
  std::vector<KeyValue> ReadAfter(const std::string& prefix,
                                  const std::string& last_key) const {
    std::vector<KeyValue> items;
    for (auto entry = entries_.upper_bound(std::max(prefix, last_key));
         entry != entries_.end() &&
         entry->first.compare(0, prefix.size(), prefix) == 0;
         ++entry)
      items.push_back(
          {entry->first, entry->second.value, entry->second.version, false});
    return items;
  }
  StateResult Serve(const StateWatch& watch) {
    StateResult result = MakeResult(watch.id);
    result.too_old = watch.after < oldest_watch_;
    if (result.too_old) return result;
    for (const KeyValue& change : changes_)
      if (change.version > watch.after) result.items.push_back(change);
    return result;
  }
  StateResult Serve(const StateTransaction& transaction) {
    StateResult result = MakeResult(transaction.id);
    for (const Precondition& guard : transaction.preconditions) {
      const auto entry = entries_.find(guard.key);
      if ((entry == entries_.end() ? 0 : entry->second.version) !=
          guard.version)
        result.failed_preconditions.push_back(guard.key);
    }
    if (!result.failed_preconditions.empty()) {
      result.outcome = Outcome::kConflict;
      return result;
    }
    if (!transaction.mutations.empty()) ++revision_;
    for (const Mutation& mutation : transaction.mutations) {
      if (mutation.remove)
        Remove(mutation.key);
      else
        Put(mutation.key, mutation.value);
    }
    result.revision = revision_;
    return result;
  }
  StateResult Serve(const LeaseCreate& create) {
    StateResult result = MakeResult(create.id);
    result.lease = ++last_lease_;
    return result;
  }
  StateResult Serve(const LeaseRenew& renew) { return MakeResult(renew.id); }

  void Put(const std::string& key, const std::string& value) {
    entries_[key] = {value, revision_};
    AddChange({key, value, revision_, false});
  }
  void Remove(const std::string& key) {
    if (entries_.erase(key) > 0) AddChange({key, "", revision_, true});
  }
  void AddChange(KeyValue change) {
    if (change.key.compare(0, keys::kWatchedPrefix.size(),
                           keys::kWatchedPrefix) != 0)
      return;
    last_change_ = revision_;
    changes_.push_back(std::move(change));
    while (changes_.size() > kept_changes_) {
      oldest_watch_ = changes_.front().version;
      changes_.pop_front();
    }
  }

  const size_t kept_changes_;
  std::map<std::string, Entry> entries_;
  std::deque<KeyValue> changes_;
  Requests requests_;
  uint64_t revision_ = 1, last_change_ = 1, oldest_watch_ = 0, last_lease_ = 0;
};

}  // namespace sorrelwood::test
