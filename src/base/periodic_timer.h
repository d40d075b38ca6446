// Tells when recurring work is due.
#pragma once

namespace sorrelwood {

class PeriodicTimer {
 public:
  // `interval_s`: the least time (s) between two runs of the work.
  explicit PeriodicTimer(double interval_s) : interval_s_(interval_s) {}

  // Whether the work is due at `now` (steady clock, s). If so the next interval
  // begins. It is due at the first call.
  bool Due(double now) {
    if (now < next_at_) return false;
    next_at_ = now + interval_s_;
    return true;
  }

  // Makes the work due at the next call, whatever is left of the interval.
  void Trigger() { next_at_ = 0; }

 private:
  double interval_s_;
  double next_at_ = 0;
};

}  // namespace sorrelwood
