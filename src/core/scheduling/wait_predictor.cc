#include "core/scheduling/wait_predictor.h"

#include <algorithm>
#include <cmath>

namespace sorrelwood {
namespace {

// A node is split only where the split reduces the sum of squared errors (s^2)
// of its samples by more than this.
constexpr double kMinSplitGain = 1e-9;

}  // namespace

void WaitPredictor::Learn(const FeatureVector& features, double wait_s) {
  if (auto predicted = Predict(features)) {
    error_sum_s_ += std::abs(*predicted - wait_s);
    ++prediction_count_;
    const bool predicted_short = *predicted < policy_.wait_limit_s;
    const bool was_short = wait_s < policy_.wait_limit_s;
    if (predicted_short)
      ++(was_short ? true_short_ : false_short_);
    else
      ++(was_short ? false_long_ : true_long_);
  }
  samples_.push_back({features, wait_s});
  while (samples_.size() > static_cast<size_t>(policy_.tree_max_samples))
    samples_.pop_front();
}

void WaitPredictor::Fit() {
  if (samples_.size() < 2 * static_cast<size_t>(policy_.tree_min_leaf_samples))
    return;
  std::vector<Tree> trees;
  for (int i = 0; i < policy_.tree_count; ++i) {
    std::vector<const Sample*> drawn;
    std::uniform_int_distribution<size_t> draw_index(0, samples_.size() - 1);
    for (size_t n = 0; n < samples_.size(); ++n)
      drawn.push_back(&samples_[draw_index(rng_)]);
    Tree tree;
    Grow(&tree, drawn, 0, drawn.size(), 0);
    trees.push_back(std::move(tree));
  }
  trees_ = std::move(trees);
}

int WaitPredictor::Grow(Tree* tree, std::vector<const Sample*>& samples,
                        size_t begin, size_t end, int depth) {
  const int node_index = static_cast<int>(tree->size());
  tree->emplace_back();
  double sum = 0;
  for (size_t i = begin; i < end; ++i) sum += samples[i]->wait_s;
  const double count = static_cast<double>(end - begin);
  (*tree)[static_cast<size_t>(node_index)].value = sum / count;
  const size_t min_leaf_samples =
      static_cast<size_t>(policy_.tree_min_leaf_samples);
  if (depth >= policy_.tree_depth || end - begin < 2 * min_leaf_samples)
    return node_index;

  // Finds the split that reduces the squared error most.
  int best_feature = -1;
  double best_gain = kMinSplitGain, best_threshold = 0;
  for (size_t feature = 0; feature < kWaitFeatureCount; ++feature) {
    std::sort(samples.begin() + static_cast<ptrdiff_t>(begin),
              samples.begin() + static_cast<ptrdiff_t>(end),
              [feature](const Sample* a, const Sample* b) {
                return a->features[feature] < b->features[feature];
              });
    double left_sum = 0;
    for (size_t i = begin; i + 1 < end; ++i) {
      left_sum += samples[i]->wait_s;
      const size_t left_size = i + 1 - begin;
      if (left_size < min_leaf_samples ||
          end - begin - left_size < min_leaf_samples)
        continue;
      const double value = samples[i]->features[feature];
      const double next_value = samples[i + 1]->features[feature];
      if (value == next_value) continue;
      const double left_count = static_cast<double>(left_size);
      const double right_count = count - left_count;
      const double right_sum = sum - left_sum;
      const double gain = left_sum * left_sum / left_count +
                          right_sum * right_sum / right_count -
                          sum * sum / count;
      if (gain > best_gain) {
        best_gain = gain;
        best_feature = static_cast<int>(feature);
        best_threshold = (value + next_value) / 2;
      }
    }
  }
  if (best_feature < 0) return node_index;
  const size_t feature = static_cast<size_t>(best_feature);
  const auto middle = std::partition(
      samples.begin() + static_cast<ptrdiff_t>(begin),
      samples.begin() + static_cast<ptrdiff_t>(end), [&](const Sample* sample) {
        return sample->features[feature] < best_threshold;
      });
  const size_t split = static_cast<size_t>(middle - samples.begin());
  const int left_child = Grow(tree, samples, begin, split, depth + 1);
  const int right_child = Grow(tree, samples, split, end, depth + 1);
  Node& node = (*tree)[static_cast<size_t>(node_index)];
  node.feature = best_feature;
  node.threshold = best_threshold;
  node.left = left_child;
  node.right = right_child;
  return node_index;
}

std::optional<double> WaitPredictor::Predict(
    const FeatureVector& features) const {
  if (trees_.empty()) return std::nullopt;
  double sum = 0;
  for (const Tree& tree : trees_) {
    size_t node_index = 0;
    while (tree[node_index].feature >= 0) {
      const double value =
          features[static_cast<size_t>(tree[node_index].feature)];
      node_index = static_cast<size_t>(value < tree[node_index].threshold
                                           ? tree[node_index].left
                                           : tree[node_index].right);
    }
    sum += tree[node_index].value;
  }
  return sum / static_cast<double>(trees_.size());
}

double WaitPredictor::mean_absolute_error_s() const {
  return prediction_count_ == 0
             ? 0
             : error_sum_s_ / static_cast<double>(prediction_count_);
}

double WaitPredictor::matthews_correlation() const {
  // True and false positives and negatives of the prediction "short".
  const double tp = static_cast<double>(true_short_),
               tn = static_cast<double>(true_long_),
               fp = static_cast<double>(false_short_),
               fn = static_cast<double>(false_long_);
  const double scale = std::sqrt((tp + fp) * (tp + fn) * (tn + fp) * (tn + fn));
  return scale == 0 ? 0 : (tp * tn - fp * fn) / scale;
}

}  // namespace sorrelwood
