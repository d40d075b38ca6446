#include "core/coordination/completion_store.h"

#include <algorithm>
#include <cstdlib>

#include "base/constants.h"
#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

std::string EncodeCompletionBits(const IntervalSet& tasks, uint32_t begin,
                                 uint32_t end) {
  std::string digits((end - begin + kTasksPerHexDigit - 1) / kTasksPerHexDigit,
                     '\0');
  for (const auto& [first, last] : tasks.ranges()) {
    for (uint32_t n = std::max(first, begin); n < std::min(last, end); ++n) {
      char& digit = digits[(n - begin) / kTasksPerHexDigit];
      digit =
          static_cast<char>(digit | (1 << ((n - begin) % kTasksPerHexDigit)));
    }
  }
  for (char& c : digits) c = "0123456789abcdef"[static_cast<unsigned char>(c)];
  return digits;
}

void DecodeCompletionBits(const std::string& hex, uint32_t begin,
                          uint32_t task_count, IntervalSet* tasks) {
  for (size_t i = 0; i < hex.size(); ++i) {
    const char c = hex[i];
    const int value = c <= '9' ? c - '0' : c - 'a' + 10;
    for (uint32_t bit = 0; bit < kTasksPerHexDigit; ++bit) {
      const uint32_t n =
          begin + static_cast<uint32_t>(i) * kTasksPerHexDigit + bit;
      if ((value >> bit & 1) && n < task_count && !tasks->Contains(n))
        tasks->Add(n);
    }
  }
}

void CompletionStore::Load(const StateResult& listing) {
  for (const KeyValue& item : listing.items) {
    writer_->CacheVersion(item.key, item.version);
    const std::string rest = keys::After(item.key, keys::kProgress);
    const size_t slash = rest.rfind('/');
    if (slash == std::string::npos) continue;
    const std::string job = rest.substr(0, slash);
    auto record = protocol::ParseCompletionRecord(item.value);
    if (!record) continue;
    if (!record->first_task) {
      const auto chunk = static_cast<uint32_t>(
          std::strtoul(rest.c_str() + slash + 1, nullptr, 10));
      record->first_task = chunk * kTasksPerCompletionRecord;
    }
    DecodeCompletionBits(record->bits_hex, *record->first_task, kMaxTasksPerJob,
                         &loaded_[job]);
    stored_[job].insert(item.key);
  }
}

void CompletionStore::Restore(Job* job) const {
  const auto loaded = loaded_.find(job->id());
  if (loaded == loaded_.end()) return;
  for (const auto& [first, last] : loaded->second.ranges()) {
    for (uint32_t n = first; n < std::min(last, job->spec().tasks); ++n) {
      jobs_->MarkDone(job, n);
      job->progress.committed.Add(n);
    }
  }
}

void CompletionStore::FinishLoading() {
  loaded_.clear();
  std::vector<std::string> ended;
  for (const auto& [job, keys] : stored_)
    if (!jobs_->Find(job)) ended.push_back(job);
  for (const std::string& job : ended) Remove(job);
}

void CompletionStore::Remove(const std::string& job) {
  dirty_jobs_.erase(job);
  const auto stored = stored_.find(job);
  if (stored == stored_.end()) return;
  for (const std::string& key : stored->second) writer_->Remove(key);
  stored_.erase(stored);
}

void CompletionStore::Clear() {
  loaded_.clear();
  stored_.clear();
  dirty_jobs_.clear();
}

void CompletionStore::Write() {
  for (const std::string& id : std::exchange(dirty_jobs_, {})) {
    Job* job = jobs_->Find(id);
    const uint32_t tasks = job ? job->spec().tasks : 0;
    if (!job || job->progress.done.size() == tasks) continue;
    for (uint32_t begin = 0; begin < tasks; begin += kTasksPerCompletionRecord)
      WriteChunk(job, begin,
                 std::min(begin + kTasksPerCompletionRecord, tasks));
  }
}

void CompletionStore::WriteChunk(Job* job, uint32_t begin, uint32_t end) {
  const uint32_t chunk = begin / kTasksPerCompletionRecord;
  constexpr size_t kQuotes = 2;
  const size_t bytes =
      (end - begin + kTasksPerHexDigit - 1) / kTasksPerHexDigit + kQuotes;
  if (bytes <= limits_->value_bytes()) {
    WriteRange(job, keys::Progress(job->id(), chunk), begin, end,
               /*part=*/false);
    return;
  }
  const uint32_t step = TasksPerPart();
  for (uint32_t first = begin; first < end; first += step)
    WriteRange(job, keys::ProgressPart(job->id(), chunk, first), first,
               std::min(first + step, end), /*part=*/true);
}

void CompletionStore::WriteRange(Job* job, const std::string& key,
                                 uint32_t begin, uint32_t end, bool part) {
  const IntervalSet done = DoneWithin(*job, begin, end);
  if (AllCommitted(*job, done)) return;
  const std::string id = job->id();
  CompletionRecord record;
  record.bits_hex = EncodeCompletionBits(job->progress.done, begin, end);
  if (part) record.first_task = begin;
  stored_[id].insert(key);
  const auto committed = [this, id, done] {
    Job* written = jobs_->Find(id);
    if (!written) return;
    for (const auto& [first, last] : done.ranges())
      for (uint32_t n = first; n < last; ++n)
        if (!written->progress.committed.Contains(n))
          written->progress.committed.Add(n);
  };
  // Written again, in smaller parts, under the limits that are known now.
  const auto too_large = [this, id] { MarkDirty(id); };
  writer_->Put(key, protocol::EncodeCompletionRecord(record),
               {committed, too_large, /*urgent=*/false});
}

IntervalSet CompletionStore::DoneWithin(const Job& job, uint32_t begin,
                                        uint32_t end) {
  IntervalSet done;
  for (const auto& [first, last] : job.progress.done.ranges()) {
    const uint32_t from = std::max(first, begin);
    const uint32_t to = std::min(last, end);
    if (from < to) done.Add(from, to);
  }
  return done;
}

bool CompletionStore::AllCommitted(const Job& job, const IntervalSet& tasks) {
  for (const auto& [first, last] : tasks.ranges())
    for (uint32_t n = first; n < last; ++n)
      if (!job.progress.committed.Contains(n)) return false;
  return true;
}

uint32_t CompletionStore::TasksPerPart() const {
  const size_t limit = limits_->value_bytes();
  const size_t digits = limit > kCompletionPartOverheadBytes
                            ? limit - kCompletionPartOverheadBytes
                            : 0;
  const size_t tasks =
      std::clamp<size_t>(digits * kTasksPerHexDigit, kMinTasksPerCompletionPart,
                         kMaxTasksPerCompletionPart);
  // Parts begin at a digit.
  return static_cast<uint32_t>(tasks - tasks % kTasksPerHexDigit);
}

}  // namespace sorrelwood
