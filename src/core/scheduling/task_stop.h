// When a running task may be stopped for the sake of others, and how it is told
// to.
#pragma once

#include "core/machines/machine_table.h"

namespace sorrelwood {

// The task has run for kMinRunBeforeMoveS, can save its progress soon, and is
// not being stopped already: stopping it loses little.
bool IsPreemptible(const TaskAttempt& attempt, double now);

// Tells the task to stop. One that saves checkpoints has the time to save one
// more, and kSaveGraceMarginS; any other is killed.
void StopWithCheckpoint(TaskAttempt* attempt);

}  // namespace sorrelwood
