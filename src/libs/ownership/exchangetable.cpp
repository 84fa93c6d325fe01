#include "ownership/exchangetable.h"

#include "config/document.h"

#include <absl/strings/string_view.h>
#include <algorithm>

namespace Ownership {

bool
ExchangeTable::recordRequest(const Packet::FlowKey& aFlow,
                             absl::Span<const std::uint8_t> aPayload)
{
  const auto digest = Config::identityOf(absl::string_view(
    reinterpret_cast<const char*>(aPayload.data()), aPayload.size()));
  auto& requests = mExchanges[aFlow].requests;
  if (std::find(requests.begin(), requests.end(), digest) != requests.end()) {
    return false;
  }
  requests.push_back(digest);
  return true;
}

void
ExchangeTable::recordAnswer(const Packet::FlowKey& aFlow,
                            absl::Span<const std::uint8_t> aPacket)
{
  const auto it = mExchanges.find(aFlow);
  if (it != mExchanges.end()) {
    it->second.answer.assign(aPacket.begin(), aPacket.end());
  }
}

const Packet::Bytes&
ExchangeTable::answer(const Packet::FlowKey& aFlow) const
{
  static const Packet::Bytes sNoAnswer;
  const auto it = mExchanges.find(aFlow);
  const bool hasOneRequest =
    it != mExchanges.end() && it->second.requests.size() == 1;
  return hasOneRequest ? it->second.answer : sNoAnswer;
}

void
ExchangeTable::erase(const Packet::FlowKey& aFlow)
{
  mExchanges.erase(aFlow);
}

} // namespace Ownership
