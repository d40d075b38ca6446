#include "core/workers/machine_recorder.h"

#include "core/coordination/keys.h"
#include "protocol/stored_records_codec.h"

namespace sorrelwood {

void MachineRecorder::Record(Machine* machine) {
  if (machine->lifecycle.recording || !machine->type) return;
  machine->lifecycle.recording = true;
  const MachineRecord record{machine->name, machine->type_name, machine->zone,
                             machine->address, machine->spot};
  const auto on_written = [this, name = machine->name] {
    Machine* recorded = machines_->Find(name);
    if (!recorded) return;
    recorded->lifecycle.recorded = true;
    autoscaler_->OnMachineRecorded(name);
  };
  writer_->Put(keys::ForMachine(machine->name),
               protocol::EncodeMachineRecord(record),
               {on_written, /*on_too_large=*/nullptr, /*urgent=*/true});
}

}  // namespace sorrelwood
