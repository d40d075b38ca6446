// Predicts how long a job would wait for owned room, from the state of the
// cluster (the paper's Table 1): shallow regression trees, each grown on a
// sample of the waits seen so far, averaged.
#pragma once

#include <deque>
#include <optional>
#include <random>
#include <vector>

#include "core/jobs/wait_features.h"
#include "core/model/settings.h"

namespace sorrelwood {

class WaitPredictor {
 public:
  WaitPredictor(const PolicySettings& policy, uint64_t seed)
      : policy_(policy), rng_(seed) {}

  void Learn(const FeatureVector& features, double wait_s);
  // Grows the trees anew from the samples kept; nothing without enough.
  void Fit();
  bool fitted() const { return !trees_.empty(); }
  // Nothing before the first fit.
  std::optional<double> Predict(const FeatureVector& features) const;

  size_t samples() const { return samples_.size(); }
  // Of the predictions made for samples before they were learnt.
  double mean_error_s() const;
  // Matthews correlation of "waits less than `limit_s`", predicted and seen.
  double matthews() const;

 private:
  struct Sample {
    FeatureVector features;
    double wait_s = 0;
  };
  struct Node {
    int feature = -1;  // -1: a leaf
    double threshold = 0, value = 0;
    int left = 0, right = 0;
  };
  using Tree = std::vector<Node>;

  int Grow(Tree* tree, std::vector<const Sample*>& samples, size_t begin,
           size_t end, int depth);

  PolicySettings policy_;
  std::mt19937_64 rng_;
  std::deque<Sample> samples_;
  std::vector<Tree> trees_;
  double error_sum_ = 0;
  uint64_t predicted_ = 0;
  uint64_t true_short_ = 0, true_long_ = 0, false_short_ = 0, false_long_ = 0;
};

}  // namespace sorrelwood
