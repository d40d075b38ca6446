// Writes the records of machines to the state service.
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

  // Writes the machine's record, unless that is under way already or its type
  // is unknown yet. Nothing is started on the machine before the record is
  // committed: guards against a later leader that does not know of the tasks
  // there.
  void Record(Machine* machine);

 private:
  MachineTable* machines_;
  StateWriter* writer_;
  Autoscaler* autoscaler_;
};

}  // namespace sorrelwood
