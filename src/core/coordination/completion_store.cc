#include "core/coordination/completion_store.h"

#include <algorithm>
#include <cstdlib>

#include "base/constants/state_service.h"
#include "base/constants/user_requests.h"
#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

std::string EncodeCompletionBits(const IntervalSet& tasks, uint32_t begin,
                                 uint32_t end) {
  std::string digits((end - begin + kTasksPerHexDigit - 1) / kTasksPerHexDigit,
                     '\0');
  for (const auto& [first, last] : tasks.ranges()) {
    for (uint32_t task = std::max(first, begin); task < std::min(last, end);
         ++task) {
      char& digit = digits[(task - begin) / kTasksPerHexDigit];
      digit = static_cast<char>(digit |
                                (1 << ((task - begin) % kTasksPerHexDigit)));
    }
  }
  for (char& digit : digits)
    digit = "0123456789abcdef"[static_cast<unsigned char>(digit)];
  return digits;
}

void DecodeCompletionBits(const std::string& hex, uint32_t begin,
                          uint32_t task_count, IntervalSet* tasks) {
  for (size_t i = 0; i < hex.size(); ++i) {
    const char digit = hex[i];
    const int value = digit <= '9' ? digit - '0' : digit - 'a' + 10;
    for (uint32_t bit = 0; bit < kTasksPerHexDigit; ++bit) {
      const uint32_t task =
          begin + static_cast<uint32_t>(i) * kTasksPerHexDigit + bit;
      if ((value >> bit & 1) && task < task_count && !tasks->Contains(task))
        tasks->Add(task);
    }
  }
}

void CompletionStore::Load(const StateResult& listing) {
  for (const KeyValue& item : listing.items) {
    writer_->CacheVersion(item.key, item.version);
    const std::string job_and_chunk =
        keys::StripPrefix(item.key, keys::kCompletionsPrefix);
    const size_t slash = job_and_chunk.rfind('/');
    if (slash == std::string::npos) continue;
    const std::string job_id = job_and_chunk.substr(0, slash);
    auto record = protocol::ParseCompletionRecord(item.value);
    if (!record) continue;
    if (!record->first_task) {  // a whole chunk: the key contains its number
      const auto chunk = static_cast<uint32_t>(
          std::strtoul(job_and_chunk.c_str() + slash + 1, nullptr, 10));
      record->first_task = chunk * kTasksPerCompletionRecord;
    }
    DecodeCompletionBits(record->bits_hex, *record->first_task, kMaxTasksPerJob,
                         &loaded_tasks_[job_id]);
    stored_keys_[job_id].insert(item.key);
  }
}

void CompletionStore::Restore(Job* job) const {
  const auto loaded = loaded_tasks_.find(job->id());
  if (loaded == loaded_tasks_.end()) return;
  for (const auto& [first, last] : loaded->second.ranges()) {
    for (uint32_t task = first; task < std::min(last, job->spec().tasks);
         ++task) {
      jobs_->MarkDone(job, task);
      job->progress.committed.Add(task);
    }
  }
}

void CompletionStore::FinishLoading() {
  loaded_tasks_.clear();
  std::vector<std::string> ended_jobs;
  for (const auto& [job_id, keys] : stored_keys_)
    if (!jobs_->Find(job_id)) ended_jobs.push_back(job_id);
  for (const std::string& job_id : ended_jobs) Remove(job_id);
}

void CompletionStore::Remove(const std::string& job_id) {
  dirty_jobs_.erase(job_id);
  const auto stored = stored_keys_.find(job_id);
  if (stored == stored_keys_.end()) return;
  for (const std::string& key : stored->second) writer_->Remove(key);
  stored_keys_.erase(stored);
}

void CompletionStore::Clear() {
  loaded_tasks_.clear();
  stored_keys_.clear();
  dirty_jobs_.clear();
}

void CompletionStore::Write() {
  for (const std::string& job_id : std::exchange(dirty_jobs_, {})) {
    Job* job = jobs_->Find(job_id);
    const uint32_t task_count = job ? job->spec().tasks : 0;
    if (!job || job->progress.done.size() == task_count) continue;
    for (uint32_t begin = 0; begin < task_count;
         begin += kTasksPerCompletionRecord)
      WriteChunk(job, begin,
                 std::min(begin + kTasksPerCompletionRecord, task_count));
  }
}

void CompletionStore::WriteChunk(Job* job, uint32_t begin, uint32_t end) {
  const uint32_t chunk = begin / kTasksPerCompletionRecord;
  constexpr size_t kQuotes = 2;  // around the digits in JSON
  const size_t bytes =
      (end - begin + kTasksPerHexDigit - 1) / kTasksPerHexDigit + kQuotes;
  if (bytes <= limits_->max_value_bytes()) {
    WriteTasks(job, keys::ForCompletions(job->id(), chunk), begin, end,
               /*is_part=*/false);
    return;
  }
  const uint32_t tasks_per_part = TasksPerPart();
  for (uint32_t first = begin; first < end; first += tasks_per_part)
    WriteTasks(job, keys::ForCompletionsPart(job->id(), chunk, first), first,
               std::min(first + tasks_per_part, end), /*is_part=*/true);
}

void CompletionStore::WriteTasks(Job* job, const std::string& key,
                                 uint32_t begin, uint32_t end, bool is_part) {
  const IntervalSet done = DoneWithin(*job, begin, end);
  if (AllCommitted(*job, done)) return;
  const std::string job_id = job->id();
  CompletionRecord record;
  record.bits_hex = EncodeCompletionBits(job->progress.done, begin, end);
  if (is_part) record.first_task = begin;
  stored_keys_[job_id].insert(key);
  const auto on_written = [this, job_id, done] {
    Job* written_job = jobs_->Find(job_id);
    if (!written_job) return;
    for (const auto& [first, last] : done.ranges())
      for (uint32_t task = first; task < last; ++task)
        if (!written_job->progress.committed.Contains(task))
          written_job->progress.committed.Add(task);
  };
  // The next Write() uses the lowered value limit, hence smaller parts.
  const auto on_too_large = [this, job_id] { MarkDirty(job_id); };
  writer_->Put(key, protocol::EncodeCompletionRecord(record),
               {on_written, on_too_large, /*urgent=*/false});
}

IntervalSet CompletionStore::DoneWithin(const Job& job, uint32_t begin,
                                        uint32_t end) {
  IntervalSet done;
  for (const auto& [first, last] : job.progress.done.ranges()) {
    const uint32_t overlap_begin = std::max(first, begin);
    const uint32_t overlap_end = std::min(last, end);
    if (overlap_begin < overlap_end) done.Add(overlap_begin, overlap_end);
  }
  return done;
}

bool CompletionStore::AllCommitted(const Job& job, const IntervalSet& tasks) {
  for (const auto& [first, last] : tasks.ranges())
    for (uint32_t task = first; task < last; ++task)
      if (!job.progress.committed.Contains(task)) return false;
  return true;
}

uint32_t CompletionStore::TasksPerPart() const {
  const size_t value_limit = limits_->max_value_bytes();
  const size_t digits = value_limit > kCompletionPartOverheadBytes
                            ? value_limit - kCompletionPartOverheadBytes
                            : 0;
  const size_t tasks =
      std::clamp<size_t>(digits * kTasksPerHexDigit, kMinTasksPerCompletionPart,
                         kMaxTasksPerCompletionPart);
  // Rounded down to whole digits, so that each part begins at a digit.
  return static_cast<uint32_t>(tasks - tasks % kTasksPerHexDigit);
}

}  // namespace sorrelwood
