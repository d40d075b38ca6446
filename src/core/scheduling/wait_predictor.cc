#include "core/scheduling/wait_predictor.h"

#include <algorithm>
#include <cmath>

namespace sorrelwood {

void WaitPredictor::Learn(const FeatureVector& features, double wait_s) {
  if (auto predicted = Predict(features)) {
    error_sum_ += std::abs(*predicted - wait_s);
    ++predicted_;
    const bool said_short = *predicted < policy_.wait_limit_s;
    const bool was_short = wait_s < policy_.wait_limit_s;
    if (said_short)
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
    std::uniform_int_distribution<size_t> pick(0, samples_.size() - 1);
    for (size_t n = 0; n < samples_.size(); ++n)
      drawn.push_back(&samples_[pick(rng_)]);
    Tree tree;
    Grow(&tree, drawn, 0, drawn.size(), 0);
    trees.push_back(std::move(tree));
  }
  trees_ = std::move(trees);
}

int WaitPredictor::Grow(Tree* tree, std::vector<const Sample*>& samples,
                        size_t begin, size_t end, int depth) {
  const int self = static_cast<int>(tree->size());
  tree->emplace_back();
  double sum = 0;
  for (size_t i = begin; i < end; ++i) sum += samples[i]->wait_s;
  const double count = static_cast<double>(end - begin);
  (*tree)[static_cast<size_t>(self)].value = sum / count;
  const size_t leaf = static_cast<size_t>(policy_.tree_min_leaf_samples);
  if (depth >= policy_.tree_depth || end - begin < 2 * leaf) return self;

  // The split that leaves the least squared error.
  int best_feature = -1;
  double best_gain = 1e-9, best_threshold = 0;
  for (size_t f = 0; f < kWaitFeatureCount; ++f) {
    std::sort(samples.begin() + static_cast<ptrdiff_t>(begin),
              samples.begin() + static_cast<ptrdiff_t>(end),
              [f](const Sample* a, const Sample* b) {
                return a->features[f] < b->features[f];
              });
    double left = 0;
    for (size_t i = begin; i + 1 < end; ++i) {
      left += samples[i]->wait_s;
      const size_t n = i + 1 - begin;
      if (n < leaf || end - begin - n < leaf) continue;
      const double here = samples[i]->features[f];
      const double next = samples[i + 1]->features[f];
      if (here == next) continue;
      const double ln = static_cast<double>(n), rn = count - ln;
      const double right = sum - left;
      const double gain =
          left * left / ln + right * right / rn - sum * sum / count;
      if (gain > best_gain) {
        best_gain = gain;
        best_feature = static_cast<int>(f);
        best_threshold = (here + next) / 2;
      }
    }
  }
  if (best_feature < 0) return self;
  const size_t f = static_cast<size_t>(best_feature);
  const auto middle = std::partition(
      samples.begin() + static_cast<ptrdiff_t>(begin),
      samples.begin() + static_cast<ptrdiff_t>(end),
      [&](const Sample* s) { return s->features[f] < best_threshold; });
  const size_t split = static_cast<size_t>(middle - samples.begin());
  const int left = Grow(tree, samples, begin, split, depth + 1);
  const int right = Grow(tree, samples, split, end, depth + 1);
  Node& node = (*tree)[static_cast<size_t>(self)];
  node.feature = best_feature;
  node.threshold = best_threshold;
  node.left = left;
  node.right = right;
  return self;
}

std::optional<double> WaitPredictor::Predict(
    const FeatureVector& features) const {
  if (trees_.empty()) return std::nullopt;
  double sum = 0;
  for (const Tree& tree : trees_) {
    size_t at = 0;
    while (tree[at].feature >= 0) {
      const double value = features[static_cast<size_t>(tree[at].feature)];
      at = static_cast<size_t>(value < tree[at].threshold ? tree[at].left
                                                          : tree[at].right);
    }
    sum += tree[at].value;
  }
  return sum / static_cast<double>(trees_.size());
}

double WaitPredictor::mean_error_s() const {
  return predicted_ == 0 ? 0 : error_sum_ / static_cast<double>(predicted_);
}

double WaitPredictor::matthews() const {
  const double tp = static_cast<double>(true_short_),
               tn = static_cast<double>(true_long_),
               fp = static_cast<double>(false_short_),
               fn = static_cast<double>(false_long_);
  const double scale = std::sqrt((tp + fp) * (tp + fn) * (tn + fp) * (tn + fn));
  return scale == 0 ? 0 : (tp * tn - fp * fn) / scale;
}

}  // namespace sorrelwood
