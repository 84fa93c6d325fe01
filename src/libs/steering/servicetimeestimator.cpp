#include "steering/servicetimeestimator.h"

#include <algorithm>
#include <cmath>

namespace Steering {

namespace {

/**
 * The mean of a class covers about this many answers. With 3% of the requests
 * taking 7 times the mean, its standard deviation is then below 5%.
 */
constexpr int kMeanWindow = 32;
/**
 * The shares of the classes cover more answers, since they are equal at all
 * servers in the long run.
 */
constexpr int kShareWindow = 256;
/**
 * An answer counts at most this many times the mean of its class, so that one
 * slow answer changes the mean by at most 6%.
 */
constexpr double kMaxRatio = 3;
/** Further classes replace the class with the smallest share. */
constexpr std::size_t kMaxClasses = 8;

double
weightOf(int aSamples, int aWindow)
{
  return 1.0 / std::min(aSamples, aWindow);
}

} // namespace

void
ServiceTimeEstimator::record(RequestClass aClass, Core::Duration aElapsed)
{
  mSamples = std::min(mSamples + 1, kShareWindow);
  auto& recorded = findOrInsert(aClass);
  const auto shareWeight = weightOf(mSamples, kShareWindow);
  for (auto& entry : mClasses) {
    const double hit = &entry == &recorded ? 1 : 0;
    entry.share += shareWeight * (hit - entry.share);
  }
  Milliseconds elapsed = aElapsed;
  if (recorded.samples > 0) {
    elapsed = std::min(elapsed, recorded.mean * kMaxRatio);
  }
  if (recorded.samples > 0 && recorded.samples < kMinSamples) {
    // The first answer may have been the slow one.
    recorded.mean = std::min(recorded.mean, elapsed * kMaxRatio);
  }
  recorded.samples = std::min(recorded.samples + 1, kMeanWindow);
  recorded.mean +=
    (elapsed - recorded.mean) * weightOf(recorded.samples, kMeanWindow);
}

ServiceTimeEstimator::Milliseconds
ServiceTimeEstimator::mean() const
{
  if (!isKnown()) {
    return kInitialMean;
  }
  Milliseconds sum{ 0 };
  double shares = 0;
  for (const auto& entry : mClasses) {
    sum += entry.mean * entry.share;
    shares += entry.share;
  }
  return sum / shares;
}

std::chrono::milliseconds
ServiceTimeEstimator::reportedMean() const
{
  if (!isKnown()) {
    return std::chrono::milliseconds(0);
  }
  return std::max(std::chrono::round<std::chrono::milliseconds>(mean()),
                  std::chrono::milliseconds(1));
}

ServiceTimeEstimator::ClassMean&
ServiceTimeEstimator::findOrInsert(RequestClass aClass)
{
  const auto it =
    std::find_if(mClasses.begin(), mClasses.end(), [&](const auto& aEntry) {
      return aEntry.requestClass == aClass;
    });
  if (it != mClasses.end()) {
    return *it;
  }
  if (mClasses.size() < kMaxClasses) {
    mClasses.push_back({ aClass });
    return mClasses.back();
  }
  auto& smallest = *std::min_element(mClasses.begin(),
                                     mClasses.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.share < aRight.share;
                                     });
  smallest = { aClass };
  return smallest;
}

} // namespace Steering
