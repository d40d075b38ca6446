// When a running task may be stopped to make room for others, and how it is
// stopped.
#pragma once

#include "core/machines/machine_table.h"

namespace sorrelwood {

// True if stopping the task loses little work: it has run for more than
// kMinRunBeforeMoveS, can save a checkpoint within kMaxCheckpointSaveS and
// isn't being stopped already.
bool IsPreemptible(const TaskAttempt& attempt, double now);

// Requests the stop of the task. A task with checkpoints gets the time to save
// another one plus kSaveGraceMarginS; any other task is killed immediately.
void StopWithCheckpoint(TaskAttempt* attempt);

}  // namespace sorrelwood
