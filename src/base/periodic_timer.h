// Determines when periodic work is due.
#pragma once

namespace sorrelwood {

class PeriodicTimer {
 public:
  // `interval_s` is the minimum time (s) between two runs of the work.
  explicit PeriodicTimer(double interval_s) : interval_s_(interval_s) {}

  // Returns whether the work is due at `now` (steady clock, s), and if so
  // starts the next interval. The first call returns true.
  bool RestartIfDue(double now) {
    if (now < next_due_at_) return false;
    next_due_at_ = now + interval_s_;
    return true;
  }

  // Makes the work due at the next call of RestartIfDue, regardless of the
  // interval.
  void MakeDue() { next_due_at_ = 0; }

 private:
  double interval_s_;
  double next_due_at_ = 0;  // steady clock, s
};

}  // namespace sorrelwood
