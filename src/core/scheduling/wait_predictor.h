// Predicts how long a job would wait for owned capacity, from the state of the
// cluster (see WaitFeatures). The prediction is the mean of shallow regression
// trees, each grown on a random sample of the observed waits.
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

  // Adds an observed wait to the samples, after comparing it with the
  // prediction for the error statistics.
  void Learn(const FeatureVector& features, double wait_s);
  // Regrows all trees from the stored samples. Does nothing with fewer samples
  // than two leaves need.
  void Fit();
  bool fitted() const { return !trees_.empty(); }
  // Returns the predicted wait (s); nothing before the first successful fit.
  std::optional<double> Predict(const FeatureVector& features) const;

  size_t sample_count() const { return samples_.size(); }
  // Mean absolute error (s) of the predictions made for samples before they
  // were learnt; 0 before the first one.
  double mean_absolute_error_s() const;
  // Matthews correlation of predicted and observed short waits, which are those
  // below PolicySettings::wait_limit_s. 0 where it is undefined.
  double matthews_correlation() const;

 private:
  struct Sample {
    FeatureVector features;
    double wait_s = 0;
  };
  struct Node {
    int feature = -1;  // index into FeatureVector; -1 for a leaf
    // Samples whose feature is below the threshold go left. `value` is the mean
    // wait (s) of the node's samples.
    double threshold = 0, value = 0;
    int left = 0, right = 0;  // indices of child nodes; unused in a leaf
  };
  using Tree = std::vector<Node>;

  // Adds a node for samples [begin, end) and its descendants to the tree.
  // Reorders these samples. Returns the index of the node.
  int Grow(Tree* tree, std::vector<const Sample*>& samples, size_t begin,
           size_t end, int depth);

  PolicySettings policy_;
  std::mt19937_64 rng_;
  std::deque<Sample> samples_;
  std::vector<Tree> trees_;
  double error_sum_s_ = 0;
  uint64_t prediction_count_ = 0;  // predictions compared with observed waits
  // Those predictions by outcome: whether a short or a long wait was predicted,
  // and whether that was right.
  uint64_t true_short_ = 0, true_long_ = 0, false_short_ = 0, false_long_ = 0;
};

}  // namespace sorrelwood
