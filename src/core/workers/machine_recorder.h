// Writes machine records to the state service.
#pragma once

#include "core/autoscaling/autoscaler.h"
#include "core/coordination/state_writer.h"
#include "core/machines/machine_table.h"

namespace sorrelwood {

class MachineRecorder {
 public:
  MachineRecorder(MachineTable* machines, StateWriter* writer,
                  Autoscaler* autoscaler)
      : machines_(machines), writer_(writer), autoscaler_(autoscaler) {}

  // Queues the write of the machine's record, unless it was queued before or
  // the machine's type is not known yet. No task is started on the machine
  // before the record is committed; otherwise a later leader might not know of
  // the tasks there.
  void Record(Machine* machine);

 private:
  MachineTable* machines_;
  StateWriter* writer_;
  Autoscaler* autoscaler_;
};

}  // namespace sorrelwood
